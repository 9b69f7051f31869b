package cell

import (
	"log/slog"
	"slices"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cowslipgap/cowslipgap/workload"
)

const (
	// commitInterval is the minimum time between two commits. Calls to the store are
	// charged for, and a transaction costs the same for one row as for many.
	commitInterval = 15 * time.Millisecond
	// maxCommitInterval is the maximum time between two commits. Other hosts claim a cell
	// whose owner does not commit.
	maxCommitInterval = 250 * time.Millisecond
	// reservedDrops is how many rows each commit deletes, if there are as many to delete,
	// while more rows wait to be written than it can hold.
	reservedDrops = 20
	// maxRows and maxBytes keep a commit below the store's limits of 100 entries and
	// 1 MB in base64. The cell's head row takes two more entries.
	maxRows  = 90
	maxBytes = 600 << 10
	// rosterRowWorkers is the number of workers in a row of the roster, if they fit.
	rosterRowWorkers = 400
)

// commitState tracks what has to be stored, the commit in flight, and when the
// store last confirmed the ownership.
type commitState struct {
	seq         uint64
	inFlight    *pendingCommit
	lastSent    Instant
	confirmedAt Instant       // when the last confirmed commit was sent
	latency     time.Duration // duration of the last confirmed commit
	dirty       []*part
	marked      uint64    // how many parts were ever added to dirty
	unstored    []*worker // workers with lastProcessed above lastStored
	drops       []Row     // rows to delete
	rosterDirty bool      // the roster must be written
	rosterRows  int       // rows of the roster that may be in the store
	rejections  rejections
}

// pendingCommit holds what to do once a commit is confirmed.
type pendingCommit struct {
	seq     uint64
	parts   []partWrite
	acks    map[*worker]resultAck
	workers map[*worker]WorkerRef // workers on the roster that it writes
	drops   []Row

	roster    bool // it writes the roster
	partsOnly bool // it writes no other rows, and deletes none
}

// resultAck is the sequence number of a run result in one incarnation of a worker.
type resultAck struct {
	incarnation int
	seq         uint64
}

// partWrite is a part whose rows a commit stores.
type partWrite struct {
	part    *part
	state   workload.State // of its job
	accepts []uint64       // submissions to answer
	cancels []uint64       // cancellations to answer
	placed  []*run         // runs to start
	evicted []*run         // runs to stop to make room
	mark    uint64         // of the part
	specs   bool           // the job's specification is in it
	added   []*part        // parts that were split off
}

// markDirty queues a job's first part, which holds the state of the job, for the next commit.
func (c *Cell) markDirty(j *job) { c.markPartDirty(&j.main) }

// markTaskDirty queues the part that holds a task, and the one that holds what its gang has in
// common.
func (c *Cell) markTaskDirty(t *task) {
	c.markPartDirty(t.part())
	if t.step.spec.Gang {
		c.markPartDirty(t.step.tasks[0].part())
	}
}

func (c *Cell) markPartDirty(p *part) {
	if !p.dirty {
		p.dirty = true
		c.commits.marked++
		p.mark = c.commits.marked
		c.commits.dirty = append(c.commits.dirty, p)
	}
}

// flush sends a commit if one is due and none is in flight.
func (c *Cell) flush() {
	commits := &c.commits
	c.retryHeld()
	since := c.now.Steady - commits.lastSent
	due := len(commits.dirty) > 0 || len(commits.drops) > maxRows/2 || commits.rosterDirty || len(commits.unstored) > 0
	wait := maxCommitInterval
	switch {
	case len(commits.dirty) > maxRows:
		wait = 0 // the commit will be full, and more rows wait for the next
	case due:
		wait = commitInterval
	}
	if commits.inFlight != nil || since < wait {
		return
	}
	commits.seq++
	commits.lastSent = c.now.Steady
	p := &pendingCommit{seq: commits.seq, partsOnly: commits.rejections.mostParts > 0}
	effect := Commit{Token: c.token, Seq: commits.seq}
	if !p.partsOnly {
		c.addOtherRows(&effect, p)
	}
	c.addParts(&effect, p)
	if n := min(len(commits.drops), max(0, maxRows-effect.rows())); n > 0 && !p.partsOnly {
		p.drops = slices.Clone(commits.drops[:n])
		effect.Drops = append(effect.Drops, p.drops...)
		commits.drops = commits.drops[n:]
	}
	p.acks = c.storedResults()
	commits.inFlight = p
	c.emit(effect)
}

// addOtherRows adds the rows of the roster and of learned state that are due to a commit.
func (c *Cell) addOtherRows(effect *Commit, p *pendingCommit) {
	commits := &c.commits
	if commits.rosterDirty && c.now.Steady >= commits.rejections.rosterAfter {
		commits.rosterDirty = false
		effect.Puts, effect.Drops = c.rosterRows(p)
	}
	if row, due := c.learnedRow(); due {
		effect.Puts = append(effect.Puts, row)
	}
}

// addParts adds the parts that are due to a commit, as far as there is room.
func (c *Cell) addParts(effect *Commit, p *pendingCommit) {
	commits := &c.commits
	size := 0
	for _, row := range effect.Puts {
		size += len(row.Value)
	}
	rowsForJobs := maxRows - min(reservedDrops, len(commits.drops))
	for len(commits.dirty) > 0 && effect.rows() < rowsForJobs && size < maxBytes && (!p.partsOnly || len(p.parts) < commits.rejections.mostParts) {
		room := commitRoom{rows: maxRows - effect.rows(), bytes: maxBytes - size, all: effect.rows() == 0}
		part := commits.next()
		rows, taken, err := c.takePart(part, p, room)
		if err != nil {
			commits.dirty = commits.dirty[1:]
			c.cannotStore(part, err.Error())
			continue
		}
		if !taken {
			break // it is the first of the next commit
		}
		commits.dirty = commits.dirty[1:]
		for _, row := range rows {
			size += len(row.Value)
			effect.Puts = append(effect.Puts, row)
		}
	}
}

// next returns the part that is stored next, which is then the first one queued. The later parts of
// an ended job need no rows, but count as stored only once its state is.
func (s *commitState) next() *part {
	p := s.dirty[0]
	main := &p.job.main
	if p != main && main.dirty && p.job.progress.State.Final() {
		if i := slices.Index(s.dirty, main); i > 0 {
			s.dirty = slices.Insert(slices.Delete(s.dirty, i, i+1), 0, main)
		}
		main.mark = min(main.mark, p.mark)
	}
	return s.dirty[0]
}

// storedResults returns the run results whose effects this commit or an earlier one
// stores, including those that change no job. A result is stored once the jobs are that
// were queued for a commit when it was processed, even if others are queued by now.
func (c *Cell) storedResults() map[*worker]resultAck {
	commits := &c.commits
	taken := commits.marked
	if len(commits.dirty) > 0 {
		taken = commits.dirty[0].mark - 1
	}
	for _, p := range commits.rejections.held {
		taken = min(taken, p.mark-1)
	}
	acks := map[*worker]resultAck{}
	for _, w := range commits.unstored {
		if w.markedAt > taken {
			continue
		}
		acks[w] = resultAck{w.incarnation, w.ackable}
		w.ackable, w.markedAt = w.lastProcessed, commits.marked
	}
	return acks
}

// resultsProcessed records that results of a worker were processed, and their effects
// are queued for a commit.
func (c *Cell) resultsProcessed(w *worker) {
	if !w.unstored && w.lastProcessed > w.lastStored {
		w.unstored = true
		w.ackable, w.markedAt = w.lastProcessed, c.commits.marked
		c.commits.unstored = append(c.commits.unstored, w)
	}
}

// unstoredRuns returns the runs of the part's tasks whose placement is not stored yet.
func (p *part) unstoredRuns() []*run {
	var list []*run
	p.job.eachStep(p.first, p.end, func(s *step, from, to int) {
		if s.tasksWithRuns == 0 {
			return
		}
		for _, t := range s.tasks[from:to] {
			for _, r := range t.runs {
				if r.state == placing {
					list = append(list, r)
				}
			}
		}
	})
	return list
}

// commitRoom is what is left of a commit.
type commitRoom struct {
	rows, bytes int
	all         bool // the commit is empty, so that what does not fit never will
}

// takePart returns the rows that store the current state of a part, and adds it to the commit.
// A job without a row of progress is queued. If the rows do not fit into what is left of the
// commit, or cannot be encoded, it changes nothing.
func (c *Cell) takePart(p *part, commit *pendingCommit, room commitRoom) (rows []Row, taken bool, err error) {
	j := p.job
	final := j.progress.State.Final()
	if p != &j.main && final {
		p.dirty, p.evicted = false, nil
		return nil, true, nil // the row is deleted, or will be
	}
	specs, progress, pieces, err := c.partRows(p)
	if err != nil {
		return nil, false, err
	}
	rows = slices.Concat(specs, progress)
	size := 0
	for _, row := range rows {
		size += len(row.Value)
	}
	if (len(rows) > room.rows || size > room.bytes) && !room.all {
		return nil, false, nil
	}
	write := partWrite{part: p, state: j.progress.State, placed: p.unstoredRuns(), evicted: p.evicted, mark: p.mark, specs: len(specs) > 0}
	p.dirty, p.evicted = false, nil
	p.stored = p.stored || len(progress) > 0
	write.added = p.split(pieces)
	if len(specs) > 0 {
		j.storing, j.rows = true, len(specs)
	}
	if p == &j.main {
		write.accepts, write.cancels = j.acceptReplies, j.cancelReplies
		j.acceptReplies, j.cancelReplies = nil, nil
	}
	commit.parts = append(commit.parts, write)
	if final && !j.deleted {
		j.deleted = true // a later commit deletes the rows; they are harmless until then
		c.commits.drops = append(c.commits.drops, j.obsoleteRows()...)
	}
	return rows, true, nil
}

// partRows returns the rows of a part, with the job's specification if that is not stored yet,
// and the pieces that the part has to be split into.
func (c *Cell) partRows(p *part) (specs, progress []Row, pieces []piece, err error) {
	j := p.job
	first, state := p == &j.main, j.progress.State
	if first && !j.stored && !j.storing && j.spec != nil && !state.Final() {
		specs = c.jobRows(j)
	}
	if pieces, err = c.encodePart(p); err != nil {
		return nil, nil, nil, err
	}
	if p.stored || first && state != workload.Queued || len(pieces) > 1 || !pieces[0].empty {
		for _, piece := range pieces {
			progress = append(progress, piece.row)
		}
	}
	return specs, progress, pieces, nil
}

// obsoleteRows returns the rows of an ended job that are not needed any more: all but the
// first of its progress.
func (j *job) obsoleteRows() []Row {
	var list []Row
	for n := max(1, j.rows) - 1; n >= 0; n-- { // the last first: what is left can be told from a whole one
		list = append(list, Row{Table: Jobs, Key: rowKey(j.id, n)})
	}
	for _, p := range j.more {
		if p.stored {
			list = append(list, Row{Table: Progress, Key: rowKey(j.id, p.first)})
		}
	}
	return list
}

// rosterRows returns the rows that list the workers that this cell may use, and those to
// delete because there are fewer workers now.
func (c *Cell) rosterRows(p *pendingCommit) (puts, drops []Row) {
	var refs []WorkerRef
	workers := make(map[*worker]WorkerRef, len(c.sortedWorkers))
	for _, w := range c.sortedWorkers {
		ref := WorkerRef{ID: w.ID, Addr: w.Addr, Service: w.Service, Leaving: w.leaving()}
		refs, workers[w] = append(refs, ref), ref
	}
	for _, share := range c.rosterShares(refs) {
		value, err := cbor.Marshal(share)
		if err != nil {
			c.rosterRejected(err.Error())
			return nil, nil // its workers get no work
		}
		puts = append(puts, Row{Table: Roster, Key: rosterKey(len(puts)), Value: value})
	}
	p.workers, p.roster = workers, true
	for n := len(puts); n < c.commits.rosterRows; n++ {
		drops = append(drops, Row{Table: Roster, Key: rosterKey(n)})
	}
	c.commits.rosterRows = len(puts)
	return puts, drops
}

// rosterShares divides the roster into rows.
func (c *Cell) rosterShares(refs []WorkerRef) [][]WorkerRef {
	const rowBytes, refBytes = 8, 16 // without texts
	var shares [][]WorkerRef
	first, size := 0, rowBytes
	for i, ref := range refs {
		n := refBytes + len(ref.ID) + len(ref.Addr) + len(ref.Service)
		if i > first && (i-first == rosterRowWorkers || size+n > c.maxRowBytes()) {
			shares = append(shares, refs[first:i])
			first, size = i, rowBytes
		}
		size += n
	}
	if first < len(refs) {
		shares = append(shares, refs[first:])
	}
	return shares
}

// rosterKey returns the key of a row of the roster. The first one has the key that
// earlier versions read.
func rosterKey(n int) string {
	if n == 0 {
		return "workers"
	}
	return "workers-" + strconv.Itoa(n)
}

// DecodeRoster decodes a row of the roster.
func DecodeRoster(value []byte) ([]WorkerRef, error) {
	var refs []WorkerRef
	err := cbor.Unmarshal(value, &refs)
	return refs, err
}

// handleCommitted applies the consequences of a confirmed commit.
func (c *Cell) handleCommitted(e Committed) {
	p := c.commits.inFlight
	if p == nil || p.seq != e.Seq {
		return
	}
	c.commits.inFlight = nil
	c.commits.rejections.accepted()
	c.commits.latency = c.now.Steady - c.commits.lastSent
	c.commits.confirmedAt = max(c.commits.confirmedAt, e.Sent)
	for _, write := range p.parts {
		c.handlePartStored(write)
	}
	for w, ref := range p.workers {
		w.onRoster = ref.Addr == w.Addr && ref.Service == w.Service
	}
	for w, ack := range p.acks {
		if ack.incarnation == w.incarnation { // sequence numbers restart with each incarnation
			w.lastStored = max(w.lastStored, ack.seq)
		}
	}
	c.commits.unstored = slices.DeleteFunc(c.commits.unstored, func(w *worker) bool {
		w.unstored = w.lastProcessed > w.lastStored
		return !w.unstored
	})
}

// handlePartStored answers the callers that waited for a part's rows to be stored,
// starts its placed runs, and finishes the job if it has ended.
func (c *Cell) handlePartStored(write partWrite) {
	j := write.part.job
	write.part.rejectedAt, write.part.heldFor = 0, 0
	if write.part == &j.main {
		j.stored, j.encoded = true, nil
	}
	if write.part == &j.main && write.state > j.reportedState {
		j.reportedState = write.state
		if write.state.Final() {
			c.logInfo("job ended", slog.String("id", j.id), slog.Int("state", int(write.state)), slog.Duration("after", c.now.Steady-j.receivedAt))
		}
	}
	for _, reply := range write.accepts {
		c.emit(Answer{Reply: reply, Verdict: Accepted, State: j.reportedState})
	}
	for _, reply := range write.cancels {
		c.emit(Answer{Reply: reply, Verdict: Accepted, State: j.reportedState})
	}
	for _, r := range write.placed {
		c.sendStart(r)
	}
	for _, r := range write.evicted {
		c.stopEvicted(r)
	}
	if write.part == &j.main && write.state.Final() && (j.spec != nil || j.unreadable) {
		j.unreadable = false
		c.stopJob(j)
		c.dropWorkingState(j)
		j.endedAt = c.now.Steady
		c.ended = append(c.ended, j)
	}
}

// dropWorkingState removes a job from the live jobs and frees everything but its state.
func (c *Cell) dropWorkingState(j *job) {
	j.spec, j.occurrences, j.more = nil, nil, nil
	delete(c.live, j.id)
	c.work.add(-j.memory)
	j.memory = 0
}
