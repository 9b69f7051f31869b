package cell

import (
	"log/slog"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cowslipgap/cowslipgap/docket"
)

const (
	// commitGap is the least time between two commits: calls to the store are
	// paid for, and a transaction costs the same for one row as for many.
	commitGap = 15 * time.Millisecond
	// heartbeat is the longest time without a commit. Other hosts take a cell
	// whose owner commits nothing.
	heartbeat = 250 * time.Millisecond
	// maxRows and maxBytes bound a commit below the store's limits of 100 entries
	// and 1 MB in base64. A job adds up to two rows to it, the head two entries.
	maxRows  = 90
	maxBytes = 500 << 10
)

// ledger is the writing side of a cell: what has to be stored, what is on its
// way, and when the store last confirmed the ownership.
type ledger struct {
	seq        uint64
	inFlight   *pendingCommit
	lastSent   Instant
	confirmed  Instant       // sending time of the last confirmed commit
	took       time.Duration // by the last confirmed commit
	dirty      []*job
	drops      []Row
	rosterOpen bool // the roster has to be written
}

// pendingCommit is what becomes true once a commit is confirmed.
type pendingCommit struct {
	seq     uint64
	jobs    []jobWrite
	acks    map[*worker]lifeAck
	workers []*worker // on the roster from now on
}

// lifeAck is an end of one life of a worker.
type lifeAck struct {
	life int
	n    uint64
}

type jobWrite struct {
	job     *job
	state   docket.State
	accepts []uint64
	cancels []uint64
	placed  []*run // to be started
}

// touch queues a job for the next commit.
func (c *Cell) touch(j *job) {
	if !j.dirty {
		j.dirty = true
		c.book.dirty = append(c.book.dirty, j)
	}
}

// flush writes what is due, if nothing is on its way.
func (c *Cell) flush() {
	b := &c.book
	since := c.now.Steady - b.lastSent
	due := len(b.dirty) > 0 || len(b.drops) > maxRows/2 || b.rosterOpen || c.ackable()
	if b.inFlight != nil || since < commitGap || !due && since < heartbeat {
		return
	}
	b.seq++
	b.lastSent = c.now.Steady
	p := &pendingCommit{seq: b.seq}
	effect := Commit{Seq: b.seq}
	size := 0
	for len(b.dirty) > 0 && effect.rows() < maxRows && size < maxBytes {
		j := b.dirty[0]
		b.dirty = b.dirty[1:]
		for _, row := range c.jobRows(j, p) {
			size += len(row.Value)
			effect.Puts = append(effect.Puts, row)
		}
	}
	if n := min(len(b.drops), maxRows-effect.rows()); n > 0 {
		effect.Drops = append(effect.Drops, b.drops[:n]...)
		b.drops = b.drops[n:]
	}
	if b.rosterOpen {
		b.rosterOpen = false
		effect.Puts = append(effect.Puts, c.rosterRow(p))
	}
	if len(b.dirty) == 0 {
		p.acks = map[*worker]lifeAck{}
		for _, w := range c.roll {
			if w.seen > w.ackable {
				p.acks[w] = lifeAck{w.life, w.seen}
			}
		}
	}
	b.inFlight = p
	c.emit(effect)
}

// ackable reports whether ends were read that change no job and wait only for
// their acknowledgement.
func (c *Cell) ackable() bool {
	for _, w := range c.roll {
		if w.seen > w.ackable {
			return true
		}
	}
	return false
}

// planned returns the runs of the job that wait for their placement to be stored.
func (j *job) planned() []*run {
	var list []*run
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.active == 0 {
				continue
			}
			for _, t := range s.tasks {
				for _, r := range t.runs {
					if r.state == planned {
						list = append(list, r)
					}
				}
			}
		}
	}
	return list
}

// jobRows returns the rows that store a job as it is now. A job without a
// progress row is queued.
func (c *Cell) jobRows(j *job, p *pendingCommit) []Row {
	j.dirty = false
	var puts []Row
	record := j.record()
	if !j.stored && !j.storing && j.Job != nil && !record.State.Final() {
		j.storing = true
		puts = append(puts, c.encoded(Jobs, j.id, j.Encode))
	}
	if j.recorded || record.State != docket.Queued || len(record.Steps) > 0 {
		j.recorded = true
		puts = append(puts, c.encoded(Progress, j.id, record.Encode))
	}
	if record.State.Final() && !j.deleted {
		j.deleted = true // the row does no harm meanwhile
		c.book.drops = append(c.book.drops, Row{Table: Jobs, Key: j.id})
	}
	p.jobs = append(p.jobs, jobWrite{job: j, state: record.State, accepts: j.acceptWaits, cancels: j.cancelWaits, placed: j.planned()})
	j.acceptWaits, j.cancelWaits = nil, nil
	return puts
}

// encoded returns a row. The types written always have an encoding; if one did
// not, the row would be empty and be reported as malformed by its reader.
func (c *Cell) encoded(table Table, key string, encode func() ([]byte, error)) Row {
	value, err := encode()
	if err != nil {
		c.emit(Note{Level: slog.LevelError, Text: "row not encoded", Attrs: []slog.Attr{slog.String("key", key), slog.Any("error", err)}})
	}
	return Row{Table: table, Key: key, Value: value}
}

// rosterRow returns the row that names the workers that this cell may use.
func (c *Cell) rosterRow(p *pendingCommit) Row {
	var refs []WorkerRef
	for _, w := range c.workers {
		refs = append(refs, WorkerRef{ID: w.ID, Addr: w.Addr, Service: w.Service})
		p.workers = append(p.workers, w)
	}
	return c.encoded(Roster, RosterKey, func() ([]byte, error) { return cbor.Marshal(refs) })
}

// RosterKey is the key of the single roster row.
const RosterKey = "workers"

// DecodeRoster reads the roster row.
func DecodeRoster(value []byte) ([]WorkerRef, error) {
	var refs []WorkerRef
	err := cbor.Unmarshal(value, &refs)
	return refs, err
}

// committed makes visible what the store now holds.
func (c *Cell) committed(e Committed) {
	p := c.book.inFlight
	if p == nil || p.seq != e.Seq {
		return
	}
	c.book.inFlight = nil
	c.book.took = c.now.Steady - c.book.lastSent
	c.book.confirmed = max(c.book.confirmed, e.Sent)
	for _, write := range p.jobs {
		c.jobStored(write)
	}
	for _, w := range p.workers {
		w.onRoster = true
	}
	for w, ack := range p.acks {
		if ack.life == w.life { // numbers of ends begin anew in each life
			w.ackable = max(w.ackable, ack.n)
		}
	}
}

// jobStored tells those who waited for a job's rows.
func (c *Cell) jobStored(write jobWrite) {
	j := write.job
	j.stored = true
	if write.state > j.shown {
		j.shown = write.state
		if write.state.Final() {
			c.note("job ended", slog.String("id", j.id), slog.Int("state", int(write.state)), slog.Duration("after", c.now.Steady-j.received))
		}
	}
	for _, reply := range write.accepts {
		c.emit(Answer{Reply: reply, Verdict: Accepted, State: j.shown})
	}
	for _, reply := range write.cancels {
		c.emit(Answer{Reply: reply, Verdict: Accepted, State: j.shown})
	}
	for _, r := range write.placed {
		c.sendStart(r)
	}
	if write.state.Final() && j.Job != nil {
		c.stopAll(j)
		c.retire(j)
		j.endedAt = c.now.Steady
		c.ended = append(c.ended, j)
	}
}

// retire forgets all of a job but its state.
func (c *Cell) retire(j *job) {
	j.Job, j.occurrences = nil, nil
	delete(c.live, j.id)
}
