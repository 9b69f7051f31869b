package placement

import (
	"time"

	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/storage"
	"github.com/cowslipgap/cowslipgap/task"
)

// Event is an input to [Core.Update]. All event types are declared in this file.
type Event interface{ event() }

// Submit asks to run tasks. Several tasks form a gang: all of them start
// together, or none.
type Submit struct{ Tasks []task.Task }

// Cancel cancels a task: it is removed if it is queued and stopped if it was
// started.
type Cancel struct{ ID string }

// Started reports that a worker accepted a start.
type Started struct {
	ID      string
	Attempt int
}

// Refused reports that a start had no effect.
type Refused struct {
	ID      string
	Attempt int
	Leaving bool // the worker accepts no new tasks
	Fault   bool // the worker could not be reached
}

// Unanswered reports that a start got no reply, so that it is unknown whether it
// took effect.
type Unanswered struct {
	ID      string
	Attempt int
}

// Ended reports how a running task ended.
type Ended struct {
	ID      string
	Outcome storage.Outcome
}

// Workers replaces the list of workers that this entry host owns.
type Workers struct{ List []storage.Worker }

// Reported delivers a worker's reply to a Renew effect that was sent at Sent.
type Reported struct {
	Worker string
	Sent   time.Time
	Report storage.Report
}

// RenewFailed reports that a Renew effect got no reply.
type RenewFailed struct{ Worker string }

// TeamPolicy holds a team's share and, if Capped is set, its limits on the tasks
// that may run here.
type TeamPolicy struct {
	Weight    float64
	Limit     int  // no task is started while this many run here
	HardLimit int  // tasks are stopped while more than this many run here
	Capped    bool // Limit and HardLimit apply
}

// Teams replaces every team's policy.
type Teams struct{ Policies map[string]TeamPolicy }

// RemoteUse delivers the reports of the other entry hosts: the capacity of their
// workers and each team's use of it.
type RemoteUse struct {
	Capacity resource.Vector
	Used     map[string]resource.Vector
}

// Authority sets the time until which this entry host may start tasks on its
// workers.
type Authority struct{ Until time.Time }

// Tick runs the periodic work. Send one about every 100 ms.
type Tick struct{}

func (Submit) event()      {}
func (Cancel) event()      {}
func (Started) event()     {}
func (Refused) event()     {}
func (Unanswered) event()  {}
func (Ended) event()       {}
func (Workers) event()     {}
func (Reported) event()    {}
func (RenewFailed) event() {}
func (Teams) event()       {}
func (RemoteUse) event()   {}
func (Authority) event()   {}
func (Tick) event()        {}
