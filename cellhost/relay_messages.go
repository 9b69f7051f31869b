package cellhost

import (
	"time"

	"github.com/cowslipgap/cowslipgap/cell"
	"github.com/cowslipgap/cowslipgap/resource"
)

// This file defines the messages between the owner and its relays. They are most of
// what an owner of a large cell sends and receives, so they hold each spec once and
// encode lists as arrays.

// commandKind identifies the kind of a relayed command.
type commandKind int

const (
	startCommand commandKind = iota + 1
	stopCommand
	pollCommand
)

// relayBatch holds commands for a relay. Instants are those of the owner's clock.
type relayBatch struct {
	Session     string         `cbor:"1,keyasint"` // session of the owner
	Addr        string         `cbor:"2,keyasint"` // address to which the outcomes are sent
	Token       uint64         `cbor:"3,keyasint"`
	NotAfter    cell.Instant   `cbor:"4,keyasint"` // earliest Command.NotAfter of the commands
	StartBefore cell.Instant   `cbor:"5,keyasint"` // later, no start is sent, and polls acknowledge nothing
	Specs       []string       `cbor:"6,keyasint,omitempty"`
	Commands    []relayCommand `cbor:"7,keyasint"`
}

// relayCommand is a command in a batch.
type relayCommand struct {
	ID         uint64        `cbor:"1,keyasint"`
	Kind       commandKind   `cbor:"2,keyasint"`
	Worker     string        `cbor:"3,keyasint"`
	Addr       string        `cbor:"4,keyasint"`
	Task       string        `cbor:"5,keyasint,omitempty"`
	Run        uint64        `cbor:"6,keyasint,omitempty"`
	Spec       int           `cbor:"7,keyasint,omitempty"` // index in relayBatch.Specs
	Checkpoint string        `cbor:"8,keyasint,omitempty"`
	Ticket     string        `cbor:"9,keyasint,omitempty"`
	LeaseUntil time.Duration `cbor:"10,keyasint,omitempty"`
	Ack        uint64        `cbor:"11,keyasint,omitempty"`
	Wait       time.Duration `cbor:"12,keyasint,omitempty"`
	LaterMS    int64         `cbor:"13,keyasint,omitempty"` // Command.NotAfter less relayBatch.NotAfter, rounded down to milliseconds

	spec     string // of a start, until it is in relayBatch.Specs
	token    uint64
	notAfter cell.Instant
}

// relayResult is the outcome of a relayed command.
type relayResult struct {
	ID        uint64        `cbor:"1,keyasint"`
	Failure   cell.Failure  `cbor:"2,keyasint,omitempty"`
	Clock     time.Duration `cbor:"3,keyasint,omitempty"`
	StartedAt int64         `cbor:"4,keyasint,omitempty"`
	Running   []runningItem `cbor:"5,keyasint,omitempty"`
	Ended     []endedItem   `cbor:"6,keyasint,omitempty"`
	Capacity  *capacityItem `cbor:"7,keyasint,omitempty"`
	Late      bool          `cbor:"8,keyasint,omitempty"` // the poll was sent too late for its acknowledgement
}

// messageBytes is what an entry of a message takes beside its texts, at most.
const messageBytes = 80

// size returns an upper bound of the command's share of a batch.
func (m relayCommand) size() int {
	return messageBytes + len(m.Worker) + len(m.Addr) + len(m.Task) + len(m.spec) + len(m.Checkpoint) + len(m.Ticket)
}

// size returns an upper bound of the outcome's share of a batch.
func (m relayResult) size() int {
	n := messageBytes
	for i := range m.Running {
		n += messageBytes + len(m.Running[i].Task) + len(m.Running[i].Checkpoint)
	}
	for i := range m.Ended {
		n += messageBytes + len(m.Ended[i].Task) + len(m.Ended[i].Checkpoint)
	}
	return n
}

// runningItem is a cell.RunningTask.
type runningItem struct {
	_          struct{} `cbor:",toarray"`
	Task       string
	Run        uint64
	Checkpoint string
	Percent    int
}

// capacityItem is the capacity that a worker reports.
type capacityItem struct {
	_            struct{} `cbor:",toarray"`
	MilliCPU     int64
	MemoryMB     int64
	Accelerators int64
}

// endedItem is a cell.RunResult.
type endedItem struct {
	_          struct{} `cbor:",toarray"`
	Seq        uint64
	Task       string
	Run        uint64
	Outcome    cell.RunOutcome
	Checkpoint string
}

// encodeCommand returns the message for a command.
func encodeCommand(id uint64, cmd any) relayCommand {
	m := relayCommand{ID: id}
	common := func(kind commandKind, c cell.Command) {
		m.Kind, m.Worker, m.Addr, m.token, m.notAfter = kind, c.Worker, c.Addr, c.Token, c.NotAfter
	}
	switch c := cmd.(type) {
	case cell.Start:
		common(startCommand, c.Command)
		m.Task, m.Run, m.spec, m.Checkpoint, m.Ticket, m.LeaseUntil = c.Task, c.Run, c.Spec, c.Checkpoint, c.Ticket, c.LeaseUntil
	case cell.Stop:
		common(stopCommand, c.Command)
		m.Task, m.Run = c.Task, c.Run
	case cell.Poll:
		common(pollCommand, c.Command)
		m.LeaseUntil, m.Ack, m.Wait = c.LeaseUntil, c.Ack, c.Wait
	}
	return m
}

// newRelayBatch returns the batch for commands of one claim.
func newRelayBatch(session, addr string, commands []relayCommand) *relayBatch {
	b := &relayBatch{Session: session, Addr: addr, Token: commands[0].token, NotAfter: commands[0].notAfter, Commands: commands}
	indexes := map[string]int{}
	for i := range commands {
		c := &commands[i]
		b.NotAfter = min(b.NotAfter, c.notAfter)
		if c.Kind != startCommand {
			continue
		}
		index, known := indexes[c.spec]
		if !known {
			index = len(b.Specs)
			indexes[c.spec] = index
			b.Specs = append(b.Specs, c.spec)
		}
		c.Spec = index
	}
	for i := range commands {
		commands[i].LaterMS = (commands[i].notAfter - b.NotAfter).Milliseconds()
	}
	return b
}

// decode returns the command of a message, and reports whether it is valid.
func (m *relayCommand) decode(b *relayBatch) (any, bool) {
	common := cell.Command{Worker: m.Worker, Addr: m.Addr, Token: b.Token, NotAfter: b.NotAfter + time.Duration(m.LaterMS)*time.Millisecond}
	switch m.Kind {
	case startCommand:
		if m.Spec < 0 || m.Spec >= len(b.Specs) {
			return nil, false
		}
		return cell.Start{Command: common, Task: m.Task, Run: m.Run, Spec: b.Specs[m.Spec], Checkpoint: m.Checkpoint, Ticket: m.Ticket, LeaseUntil: m.LeaseUntil}, true
	case stopCommand:
		return cell.Stop{Command: common, Task: m.Task, Run: m.Run}, true
	case pollCommand:
		return cell.Poll{Command: common, LeaseUntil: m.LeaseUntil, Ack: m.Ack, Wait: m.Wait}, true
	default:
		return nil, false
	}
}

// encodeOutcome returns the message for the outcome of a command.
func encodeOutcome(command *relayCommand, outcome any) relayResult {
	m := relayResult{ID: command.ID}
	switch o := outcome.(type) {
	case cell.Started:
		m.Failure, m.Clock = o.Failure, o.Clock
	case cell.StopDone:
		m.Failure = o.Failure
	case cell.PollResult:
		m.Late = o.Ack < command.Ack
		m.Failure, m.Clock, m.StartedAt = o.Failure, o.Report.Clock, o.Report.StartedAt
		if v := o.Report.Capacity; v != nil {
			m.Capacity = &capacityItem{MilliCPU: v.MilliCPU, MemoryMB: v.MemoryMB, Accelerators: v.Accelerators}
		}
		for _, r := range o.Report.Running {
			m.Running = append(m.Running, runningItem{Task: r.Task, Run: r.Run, Checkpoint: r.Checkpoint, Percent: r.Percent})
		}
		for _, e := range o.Report.Ended {
			m.Ended = append(m.Ended, endedItem{Seq: e.Seq, Task: e.Task, Run: e.Run, Outcome: e.Outcome, Checkpoint: e.Checkpoint})
		}
	}
	return m
}

// outcome returns the outcome of a relayed command, which arrived at the given time.
func (m *relayResult) outcome(r *relayed, now cell.Instant) any {
	switch c := r.command.(type) {
	case cell.Start:
		return cell.Started{Token: c.Token, Worker: c.Worker, Task: c.Task, Run: c.Run, Received: now, Failure: m.Failure, Clock: m.Clock}
	case cell.Stop:
		return cell.StopDone{Token: c.Token, Worker: c.Worker, Task: c.Task, Run: c.Run, Received: now, Failure: m.Failure}
	case cell.Poll:
		report := cell.Report{StartedAt: m.StartedAt, Clock: m.Clock}
		if v := m.Capacity; v != nil {
			report.Capacity = &resource.Vector{MilliCPU: v.MilliCPU, MemoryMB: v.MemoryMB, Accelerators: v.Accelerators}
		}
		for _, e := range m.Running {
			report.Running = append(report.Running, cell.RunningTask{Task: e.Task, Run: e.Run, Checkpoint: e.Checkpoint, Percent: e.Percent})
		}
		for _, e := range m.Ended {
			report.Ended = append(report.Ended, cell.RunResult{Seq: e.Seq, Task: e.Task, Run: e.Run, Outcome: e.Outcome, Checkpoint: e.Checkpoint})
		}
		ack := c.Ack
		if m.Late {
			ack = 0
		}
		return cell.PollResult{Token: c.Token, Worker: c.Worker, Sent: r.sent, Received: now, Failure: m.Failure, Ack: ack, Report: report}
	default:
		return nil // only commands are relayed
	}
}
