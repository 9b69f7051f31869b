package placement

import (
	"time"

	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/storage"
	"github.com/cowslipgap/cowslipgap/task"
)

// Event is something that happened. The types of this file are all there are.
type Event interface{ event() }

// Submit asks to run tasks. More than one start together or not at all.
type Submit struct{ Tasks []task.Task }

// Cancel withdraws a task: it is dropped if it waits and stopped if it runs.
type Cancel struct{ ID string }

// Started says that a worker accepted a start.
type Started struct {
	ID      string
	Attempt int
}

// Refused says that a start certainly did not take effect.
type Refused struct {
	ID      string
	Attempt int
	Leaving bool // the worker takes nothing new
	Fault   bool // the worker could not be reached
}

// Unanswered says that a start was sent and nobody knows whether it took effect.
type Unanswered struct {
	ID      string
	Attempt int
}

// Ended says how a running task ended.
type Ended struct {
	ID      string
	Outcome storage.Outcome
}

// Workers replaces the list of workers that this entry host owns.
type Workers struct{ List []storage.Host }

// Reported brings a worker's answer to a Renew effect that was sent at Sent.
type Reported struct {
	Worker string
	Sent   time.Time
	Report storage.Report
}

// RenewFailed says that a Renew effect got no answer.
type RenewFailed struct{ Worker string }

// TeamPolicy is a team's share and how many of its tasks may run here.
type TeamPolicy struct {
	Weight float64
	Limit  int // tasks running here at most; none is started beyond it
	Hard   int // tasks beyond which some are stopped
	Capped bool
}

// Teams replaces every team's policy.
type Teams struct{ Policies map[string]TeamPolicy }

// Remote brings what other entry hosts report: the whole fleet's room and each
// team's use elsewhere.
type Remote struct {
	Room resource.Vector
	Used map[string]resource.Vector
}

// Authority says until when this entry host may start tasks on its workers.
type Authority struct{ Until time.Time }

// Tick lets time pass. Send one about every 100 ms.
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
func (Remote) event()      {}
func (Authority) event()   {}
func (Tick) event()        {}
