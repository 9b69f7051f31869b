// Package segment journals the accepted work of an entry host in the table.
// Entries of many callers are grouped into segments. A segment is one row of the
// table, written on condition that no other host has taken over the session. The
// rows of a session form a ring that is overwritten, so that nothing has to be
// deleted: a snapshot in the object store frees the segments before it.
//
// A guard is a row that must not exist yet, such as the row of a caller's request
// ID. It is written in the same transaction as the segment.
//
// # Usage
//
//	j := segment.Journal{Platform: client, Session: "a1-x7", Fence: check, Report: report}
//	go j.Run(ctx)
//	j.Append(segment.Batch{Token: 1, Entries: entries, Droppable: true})
//	j.Snapshot(tracker.Snapshot(), unappliedTokens)
//
//	states, entries, err := segment.Replay(ctx, client, "a1-x7")
package segment

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipgap/cowslipgap/job"
	"github.com/cowslipgap/cowslipgap/pause"
	"github.com/cowslipgap/cowslipgap/storage"
)

const (
	ringSize            = 256 // rows per session
	segmentsPerSnapshot = 128 // segments between two snapshots
	maxSegmentBytes     = 256 << 10
	maxGuardsPerSegment = 64
	retryDelay          = 200 * time.Millisecond
	keyPrefix           = "journal/"
)

var (
	// ErrFenced reports that another host has taken over the session.
	ErrFenced = errors.New("journal: session taken over")
	// ErrDropped reports that the entries were certainly not written.
	ErrDropped = errors.New("journal: not written")
	// ErrGuarded reports that the guard of a batch already exists.
	ErrGuarded = errors.New("journal: guard exists")
	// ErrMalformed reports that a stored segment or snapshot cannot be read.
	ErrMalformed = errors.New("journal: malformed")
)

// Guard is a row that must not exist before its batch is written.
type Guard struct {
	Key   string
	Value json.RawMessage
}

// Batch is a group of entries that are written together or not at all.
type Batch struct {
	Token     uint64 // returned with the result
	Entries   []job.Entry
	Guard     *Guard
	Droppable bool // report ErrDropped if the table certainly did not accept the write

	snapshot  []job.State
	unapplied []uint64 // tokens of batches that the snapshot may lack
	encoded   []json.RawMessage
	size      int
}

// Result is the outcome of a batch. Err is nil or matches an error of this
// package. Existing is the value of the guard's row if Err matches ErrGuarded.
type Result struct {
	Token    uint64
	Err      error
	Existing json.RawMessage
}

// Journal writes the entries of one session.
type Journal struct {
	Platform *storage.Client
	Session  string
	// Fence returns the condition under which the session still belongs to this host.
	Fence func() storage.Check
	// Interval returns the minimum time between two segments; nil means none.
	Interval func() time.Duration
	// Report receives the results; it must not block.
	Report func(Result)
	// BreakWriteID makes the journal treat every conflict as caused by its own
	// write. It exists so that tests can show that they detect this fault.
	BreakWriteID bool

	mu       sync.Mutex
	queue    []Batch
	wake     chan struct{}
	initOnce sync.Once

	seq          uint64            // sequence number of the last segment written
	snapshotSeq  uint64            // sequence number of the last segment that the snapshot covers
	headRevision uint64            // revision of the head row
	revisions    [ringSize]uint64  // revisions of the ring's rows
	segmentOf    map[uint64]uint64 // sequence numbers of the segments after the snapshot, by token of their batches
	writes       uint64            // rows written
}

// segment is the value of one row of the ring.
type segment struct {
	Seq     uint64            `json:"seq"`
	WriteID string            `json:"writeId"`
	Entries []json.RawMessage `json:"entries"`
}

// head is the value of the row that points to the snapshot.
type head struct {
	Seq     uint64 `json:"seq"`
	Object  string `json:"object"`
	WriteID string `json:"writeId"`
}

func (j *Journal) init() {
	j.initOnce.Do(func() { j.wake = make(chan struct{}, 1) })
}

// Append queues a batch. Its result is passed to Report later.
func (j *Journal) Append(b Batch) {
	for _, e := range b.Entries {
		data, err := json.Marshal(e)
		if err != nil {
			j.Report(Result{Token: b.Token, Err: errors.Mark(errors.Wrap(err, "encode entry"), ErrDropped)})
			return
		}
		b.encoded = append(b.encoded, data)
		b.size += len(data)
	}
	j.enqueue(b)
}

// Snapshot queues a snapshot. The states contain the entries of every batch appended
// before, except those of the batches with the unapplied tokens, whose results the
// caller has not handled yet. A replay reads the segments of those.
func (j *Journal) Snapshot(states []job.State, unapplied []uint64) {
	j.enqueue(Batch{snapshot: states, unapplied: unapplied, Droppable: true})
}

func (j *Journal) enqueue(b Batch) {
	j.init()
	j.mu.Lock()
	j.queue = append(j.queue, b)
	j.mu.Unlock()
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// SnapshotDue reports whether enough segments were written since the last
// snapshot.
func (j *Journal) SnapshotDue() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.seq-j.snapshotSeq >= segmentsPerSnapshot
}

// Writes returns the number of rows that the journal has written.
func (j *Journal) Writes() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.writes
}

// Run writes the queued batches until ctx is done.
func (j *Journal) Run(ctx context.Context) {
	j.init()
	for {
		batches := j.nextBatches()
		if len(batches) == 0 {
			select {
			case <-j.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		if batches[0].snapshot != nil {
			j.writeSnapshot(ctx, batches[0].snapshot, j.coveredSeq(batches[0].unapplied))
		} else {
			j.writeSegment(ctx, batches)
		}
		if ctx.Err() != nil {
			return
		}
		if j.Interval != nil {
			pause.Sleep(ctx, j.Interval())
		}
	}
}

// nextBatches removes the batches of the next segment, or one snapshot, from the
// queue.
func (j *Journal) nextBatches() []Batch {
	j.mu.Lock()
	defer j.mu.Unlock()
	size, n := 0, 0
	guards := map[string]bool{}
	for n < len(j.queue) {
		b := j.queue[n]
		if b.snapshot != nil {
			if n == 0 {
				n = 1
			}
			break
		}
		if b.Guard != nil {
			if guards[b.Guard.Key] {
				break // the second one waits until the first is written
			}
			guards[b.Guard.Key] = true
		}
		size += b.size
		if n > 0 && (size > maxSegmentBytes || len(guards) > maxGuardsPerSegment) {
			break
		}
		n++
	}
	batches := append([]Batch(nil), j.queue[:n]...)
	j.queue = append(j.queue[:0], j.queue[n:]...)
	return batches
}

// writeSegment writes batches as one segment and reports their results.
func (j *Journal) writeSegment(ctx context.Context, batches []Batch) {
	for len(batches) > 0 {
		if j.seq-j.snapshotSeq >= ringSize {
			// The ring is full until a snapshot succeeds.
			j.requeue(batches)
			pause.Sleep(ctx, retryDelay)
			return
		}
		err := j.commit(ctx, batches)
		switch {
		case err == nil:
			j.recordSegment(batches)
			j.reportAll(batches, nil)
			return
		case errors.Is(err, ErrFenced):
			j.reportAll(batches, err)
			return
		case errors.Is(err, ErrGuarded):
			batches = j.rejectGuarded(ctx, batches)
		case errors.Is(err, storage.ErrUnavailable):
			j.requeue(j.dropBatches(batches, err))
			j.dropQueued(err)
			pause.Sleep(ctx, retryDelay)
			return
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// requeue puts batches back at the front of the queue, behind the first queued
// snapshot, which moves to the front.
func (j *Journal) requeue(batches []Batch) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i, b := range j.queue {
		if b.snapshot != nil {
			rest := append([]Batch{b}, batches...)
			rest = append(rest, j.queue[:i]...)
			j.queue = append(rest, j.queue[i+1:]...)
			return
		}
	}
	j.queue = append(batches, j.queue...)
}

func (j *Journal) reportAll(batches []Batch, err error) {
	for _, b := range batches {
		j.Report(Result{Token: b.Token, Err: err})
	}
}

// dropBatches reports the batches that may be dropped and returns the others.
func (j *Journal) dropBatches(batches []Batch, cause error) []Batch {
	kept := batches[:0:0]
	for _, b := range batches {
		if b.Droppable {
			j.Report(Result{Token: b.Token, Err: errors.Mark(cause, ErrDropped)})
			continue
		}
		kept = append(kept, b)
	}
	return kept
}

// dropQueued drops the queued batches that may be dropped, so that their callers
// learn at once that the table is unreachable.
func (j *Journal) dropQueued(cause error) {
	j.mu.Lock()
	var dropped []Batch
	kept := j.queue[:0:0]
	for _, b := range j.queue {
		if b.Droppable && b.snapshot == nil {
			dropped = append(dropped, b)
		} else {
			kept = append(kept, b)
		}
	}
	j.queue = kept
	j.mu.Unlock()
	j.reportAll(dropped, errors.Mark(cause, ErrDropped))
}

// rejectGuarded reports the batches whose guards exist and returns the others.
func (j *Journal) rejectGuarded(ctx context.Context, batches []Batch) []Batch {
	kept := batches[:0:0]
	for _, b := range batches {
		if b.Guard == nil {
			kept = append(kept, b)
			continue
		}
		row, err := j.Platform.Get(ctx, b.Guard.Key)
		switch {
		case err == nil:
			j.Report(Result{Token: b.Token, Err: ErrGuarded, Existing: row.Value})
		case errors.Is(err, storage.ErrMissing):
			kept = append(kept, b)
		default:
			j.Report(Result{Token: b.Token, Err: errors.Mark(err, ErrDropped)})
		}
	}
	return kept
}

// commit writes one segment. It returns nil, or an error that matches ErrFenced,
// ErrGuarded or storage.ErrUnavailable. It keeps trying while the outcome is
// unknown; if ctx ends first, the error matches storage.ErrUnknown.
func (j *Journal) commit(ctx context.Context, batches []Batch) error {
	slot := (j.seq + 1) % ringSize
	key := slotKey(j.Session, slot)
	tx, writeID, err := j.buildTx(batches, key, slot)
	if err != nil {
		return errors.Mark(err, storage.ErrUnavailable)
	}
	uncertain := false
	for {
		revision, err := j.Platform.Transact(ctx, tx)
		switch {
		case err == nil:
			j.recordCommit(slot, revision, len(tx.Puts))
			return nil
		case errors.Is(err, storage.ErrConflict):
			return j.resolveConflict(ctx, slot, key, writeID, len(tx.Puts))
		case errors.Is(err, storage.ErrUnavailable) && !uncertain:
			return err
		}
		// The write may take effect now or later. Send it again until the table
		// accepts it, or reports a conflict because it already has it.
		uncertain = uncertain || errors.Is(err, storage.ErrUnknown)
		j.dropQueued(err)
		if !pause.Sleep(ctx, retryDelay) {
			return errors.Mark(ctx.Err(), storage.ErrUnknown)
		}
	}
}

// buildTx returns the transaction that writes one segment and its guards.
func (j *Journal) buildTx(batches []Batch, key string, slot uint64) (tx storage.Tx, writeID string, err error) {
	writeID = fmt.Sprintf("%s-%d-%08x", j.Session, j.seq+1, rand.Uint32())
	s := segment{Seq: j.seq + 1, WriteID: writeID, Entries: []json.RawMessage{}}
	tx.Checks = []storage.Check{j.Fence(), {Key: key, Revision: j.revisions[slot]}}
	for _, b := range batches {
		s.Entries = append(s.Entries, b.encoded...)
		if b.Guard != nil {
			tx.Checks = append(tx.Checks, storage.Check{Key: b.Guard.Key})
			tx.Puts = append(tx.Puts, storage.Put{Key: b.Guard.Key, Value: b.Guard.Value})
		}
	}
	value, err := json.Marshal(s)
	if err != nil {
		return storage.Tx{}, "", errors.Wrap(err, "encode segment")
	}
	tx.Puts = append(tx.Puts, storage.Put{Key: key, Value: value})
	return tx, writeID, nil
}

// resolveConflict finds out why a conditional write was refused: an earlier attempt
// took effect, the session was taken over, or a guard exists.
func (j *Journal) resolveConflict(ctx context.Context, slot uint64, key, writeID string, rows int) error {
	for {
		row, err := j.Platform.Get(ctx, key)
		if err == nil || errors.Is(err, storage.ErrMissing) {
			var s segment
			if err == nil && json.Unmarshal(row.Value, &s) == nil && (s.WriteID == writeID || j.BreakWriteID) {
				j.recordCommit(slot, row.Revision, rows)
				return nil
			}
			break
		}
		if !pause.Sleep(ctx, retryDelay) {
			return errors.Mark(ctx.Err(), storage.ErrUnknown)
		}
	}
	fence := j.Fence()
	for {
		row, err := j.Platform.Get(ctx, fence.Key)
		if err == nil && row.Revision == fence.Revision {
			return ErrGuarded
		}
		if err == nil || errors.Is(err, storage.ErrMissing) {
			return ErrFenced
		}
		if !pause.Sleep(ctx, retryDelay) {
			return errors.Mark(ctx.Err(), storage.ErrUnknown)
		}
	}
}

// recordCommit advances the journal past a segment that was written.
func (j *Journal) recordCommit(slot, revision uint64, rows int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.seq++
	j.revisions[slot] = revision
	j.writes += uint64(rows)
}

// recordSegment records which segment holds the batches that were just written.
func (j *Journal) recordSegment(batches []Batch) {
	if j.segmentOf == nil {
		j.segmentOf = map[uint64]uint64{}
	}
	for _, b := range batches {
		j.segmentOf[b.Token] = j.seq
	}
}

// coveredSeq returns the sequence number of the last segment that a snapshot without
// the unapplied batches covers. Batches that are not written yet are in later segments.
func (j *Journal) coveredSeq(unapplied []uint64) uint64 {
	covered := j.seq
	for _, token := range unapplied {
		if seq, written := j.segmentOf[token]; written {
			covered = min(covered, seq-1)
		}
	}
	return covered
}

// writeSnapshot stores a snapshot of the segments up to seq and then points the head
// row to it. If this fails, the previous snapshot and its segments remain valid.
func (j *Journal) writeSnapshot(ctx context.Context, states []job.State, seq uint64) {
	if seq <= j.snapshotSeq {
		return // the previous snapshot covers as much
	}
	data, err := json.Marshal(states)
	if err != nil {
		return
	}
	object := fmt.Sprintf("journal-%s-%d", j.Session, seq)
	if err := j.Platform.PutObject(ctx, object, data); err != nil {
		return
	}
	h := head{Seq: seq, Object: object, WriteID: fmt.Sprintf("%s-%08x", object, rand.Uint32())}
	value, err := json.Marshal(h)
	if err != nil {
		return
	}
	key := headKey(j.Session)
	tx := storage.Tx{
		Checks: []storage.Check{j.Fence(), {Key: key, Revision: j.headRevision}},
		Puts:   []storage.Put{{Key: key, Value: value}},
	}
	revision, err := j.Platform.Transact(ctx, tx)
	if err != nil {
		if errors.Is(err, storage.ErrUnavailable) {
			return
		}
		row, getErr := j.Platform.Get(ctx, key)
		if getErr != nil {
			return
		}
		j.headRevision = row.Revision
		var stored head
		if json.Unmarshal(row.Value, &stored) != nil || stored.WriteID != h.WriteID {
			return
		}
		revision = row.Revision
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.headRevision, j.snapshotSeq = revision, h.Seq
	j.writes++
	maps.DeleteFunc(j.segmentOf, func(_, segment uint64) bool { return segment <= h.Seq })
}

// Replay reads a session's snapshot and the entries after it, in order.
func Replay(ctx context.Context, c *storage.Client, session string) ([]job.State, []job.Entry, error) {
	rows, err := c.Scan(ctx, keyPrefix+session+"/")
	if err != nil {
		return nil, nil, errors.Wrapf(err, "read journal of %s", session)
	}
	var states []job.State
	var h head
	var segments []segment
	for _, row := range rows {
		if row.Key == headKey(session) {
			if err := json.Unmarshal(row.Value, &h); err != nil {
				return nil, nil, errors.Mark(errors.Wrapf(err, "decode %s", row.Key), ErrMalformed)
			}
			continue
		}
		var s segment
		if err := json.Unmarshal(row.Value, &s); err != nil {
			return nil, nil, errors.Mark(errors.Wrapf(err, "decode %s", row.Key), ErrMalformed)
		}
		segments = append(segments, s)
	}
	if h.Object != "" {
		data, err := c.GetObject(ctx, h.Object)
		if err != nil {
			return nil, nil, errors.Wrapf(err, "read snapshot %s", h.Object)
		}
		if err := json.Unmarshal(data, &states); err != nil {
			return nil, nil, errors.Mark(errors.Wrapf(err, "decode snapshot %s", h.Object), ErrMalformed)
		}
	}
	entries, err := decodeAfter(segments, h.Seq)
	return states, entries, err
}

// decodeAfter returns the entries of the segments after seq, in order.
func decodeAfter(segments []segment, seq uint64) ([]job.Entry, error) {
	sort.Slice(segments, func(a, b int) bool { return segments[a].Seq < segments[b].Seq })
	var entries []job.Entry
	next := seq + 1
	for _, s := range segments {
		if s.Seq <= seq {
			continue
		}
		if s.Seq != next {
			return nil, errors.Mark(errors.Newf("segment %d is missing", next), ErrMalformed)
		}
		next++
		for _, data := range s.Entries {
			var e job.Entry
			if err := json.Unmarshal(data, &e); err != nil {
				return nil, errors.Mark(errors.Wrapf(err, "decode entry of segment %d", s.Seq), ErrMalformed)
			}
			entries = append(entries, e)
		}
	}
	return entries, nil
}

func slotKey(session string, slot uint64) string {
	return keyPrefix + session + "/" + strconv.FormatUint(slot, 10)
}

func headKey(session string) string { return keyPrefix + session + "/head" }
