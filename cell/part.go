package cell

import (
	"cmp"
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipgap/cowslipgap/poison"
	"github.com/cowslipgap/cowslipgap/workload"
)

const (
	// defaultMaxRowBytes is the maximum size of a row's value if Config sets none: 64 KB in
	// base64.
	defaultMaxRowBytes = 48 << 10
	// partTasks is how many tasks share a row of progress at first.
	partTasks = 256
	// minTaskBytes is the space that a new part plans for each task.
	minTaskBytes = 64
	// maxJobRows and maxJobBytes bound the rows of a job's specification, which one commit
	// writes.
	maxJobRows  = 32
	maxJobBytes = 256 << 10
	// rowDigits is the number of digits in the key of a further row of a job, so that keys
	// sort by number.
	rowDigits = 7
)

// This file keeps the rows of a job below the store's limit, however many tasks and steps it
// has. Its progress is stored in parts, each with the tasks of a range. A part whose row
// would be too long is split, and all its pieces are written by one commit.

// part is the progress of a range of a job's tasks, which one row holds. The first part's row
// also holds the state of the job.
type part struct {
	job        *job
	first, end int           // range of its tasks' ordinals in the job
	stored     bool          // its row is stored, or in a commit that is not confirmed yet
	dirty      bool          // queued for the next commit
	mark       uint64        // commitState.marked when it was last queued
	evicted    []*run        // runs to stop to make room, once that is stored
	heldFor    time.Duration // how long it waits after the store rejected it
	heldUntil  Instant
	rejectedAt Instant // when the store first rejected a commit with it; 0: it has been stored since
}

// piece is a row of a part and the range of its tasks.
type piece struct {
	first, end int
	row        Row
	empty      bool // nothing is known of its tasks
}

// maxRowBytes returns the maximum size of a row's value.
func (c *Cell) maxRowBytes() int { return cmp.Or(c.MaxRowBytes, defaultMaxRowBytes) }

// partTasks returns how many tasks a new part has.
func (c *Cell) partTasks() int { return max(1, min(partTasks, c.maxRowBytes()/minTaskBytes)) }

// tooLong reports whether a job's specification takes more rows than one commit may write.
func (c *Cell) tooLong(spec *workload.Job) bool {
	limit := min(maxJobBytes, maxJobRows*c.maxRowBytes())
	if spec.MaxSize() <= limit {
		return false
	}
	data, err := spec.Encode()
	return err != nil || len(data) > limit
}

// rowKey returns the key of a row of a job. Number 0 has the job's ID as its key.
func rowKey(id string, n int) string {
	if n == 0 {
		return id
	}
	return fmt.Sprintf("%s.%0*d", id, rowDigits, n)
}

// parseRowKey returns the job and the number of a row.
func parseRowKey(key string) (id string, n int, err error) {
	id, digits, further := strings.Cut(key, ".")
	if !further {
		return id, 0, nil
	}
	n, err = strconv.Atoi(digits)
	if err != nil || n <= 0 {
		return "", 0, errors.Newf("malformed row key %q", key)
	}
	return id, n, nil
}

// setParts divides the job's tasks into parts that begin at the given ordinals beside 0.
func (j *job) setParts(starts []int) {
	starts = append([]int{0}, starts...)
	slices.Sort(starts)
	starts = slices.Compact(starts)
	ends := append(slices.Clone(starts[1:]), j.tasks)
	j.more = nil
	for i, first := range starts {
		if i == 0 {
			j.main.job, j.main.first, j.main.end = j, 0, ends[0]
			continue
		}
		j.more = append(j.more, &part{job: j, first: first, end: ends[i]})
	}
}

// part returns the part that holds the task.
func (t *task) part() *part {
	j := t.step.job
	if len(j.more) == 0 {
		return &j.main
	}
	n := t.step.first + t.index
	i, found := slices.BinarySearchFunc(j.more, n, func(p *part, n int) int { return cmp.Compare(p.first, n) })
	switch {
	case found:
		return j.more[i]
	case i == 0:
		return &j.main
	default:
		return j.more[i-1]
	}
}

// eachStep ranges over the steps with tasks of a range, with the range of their indexes.
func (j *job) eachStep(first, end int, yield func(s *step, from, to int)) {
	if len(j.occurrences) == 0 {
		return
	}
	perOccurrence := j.tasks / len(j.occurrences)
	for k := first / perOccurrence; k < len(j.occurrences) && k*perOccurrence < end; k++ {
		for _, s := range j.occurrences[k].steps {
			if from, to := max(first-s.first, 0), min(end-s.first, len(s.tasks)); from < to {
				yield(s, from, to)
			}
		}
	}
}

// encodePart returns the rows of a part: one, or several if one would be too long.
func (c *Cell) encodePart(p *part) ([]piece, error) {
	return c.encodeRange(p.job, p.first, p.end, nil)
}

func (c *Cell) encodeRange(j *job, first, end int, list []piece) ([]piece, error) {
	record := j.progressRecord(first, end)
	row := Row{Table: Progress, Key: rowKey(j.id, first)}
	var err error
	if row.Value, err = c.encodeProgress(&record); err != nil {
		return nil, err
	}
	limit := c.maxRowBytes()
	if len(row.Value) > limit && end-first > 1 {
		middle := first + (end-first)/2
		if list, err = c.encodeRange(j, first, middle, list); err != nil {
			return nil, err
		}
		return c.encodeRange(j, middle, end, list)
	}
	if len(row.Value) > limit {
		c.emit(LogRecord{Level: slog.LevelError, Text: "progress does not fit into a row", Attrs: []slog.Attr{slog.String("key", row.Key), slog.Int("bytes", len(row.Value))}})
		for i := range record.Steps {
			record.Steps[i].Checkpoints, record.Steps[i].Crashes = nil, nil // its next run starts from nothing
		}
		if row.Value, err = c.encodeProgress(&record); err != nil {
			return nil, err
		}
	}
	return append(list, piece{first: first, end: end, row: row, empty: len(record.Steps) == 0}), nil
}

func (c *Cell) encodeProgress(p *workload.Progress) ([]byte, error) {
	if c.EncodeProgress != nil {
		return c.EncodeProgress(p)
	}
	return p.Encode()
}

// jobRows returns the rows of a job's specification, each with a share of its encoding.
func (c *Cell) jobRows(j *job) []Row {
	var rows []Row
	for share := range slices.Chunk(j.encoded, c.maxRowBytes()) {
		rows = append(rows, Row{Table: Jobs, Key: rowKey(j.id, len(rows)), Value: share})
	}
	return rows
}

// split replaces a part by its pieces, and returns the new parts.
func (p *part) split(pieces []piece) []*part {
	if len(pieces) < 2 {
		return nil
	}
	j := p.job
	p.end = pieces[0].end
	var added []*part
	for _, piece := range pieces[1:] {
		added = append(added, &part{job: j, first: piece.first, end: piece.end, stored: true})
	}
	at, _ := slices.BinarySearchFunc(j.more, added[0].first, func(p *part, n int) int { return cmp.Compare(p.first, n) })
	j.more = slices.Insert(j.more, at, added...)
	return added
}

// progressRecord returns the progress of the tasks in a range in the form that is stored. The
// first part holds the state of the job, too.
func (j *job) progressRecord(first, end int) workload.Progress {
	p := workload.Progress{}
	if first == 0 {
		p = j.progress
		p.Steps = nil
	}
	if j.progress.State.Final() {
		return p
	}
	j.eachStep(first, end, func(s *step, from, to int) {
		if rec, changed := s.stepRecord(from, to); changed {
			p.Steps = append(p.Steps, rec)
		}
	})
	return p
}

// stepRecord returns what is known of the step's tasks in a range of indexes, and whether it
// is anything. That a step is done is stored with its first task.
func (s *step) stepRecord(from, to int) (workload.StepRecord, bool) {
	rec := workload.StepRecord{Occurrence: s.occ.index, Step: s.index}
	if s.done && from == 0 {
		rec.AllDone = true
		return rec, true
	}
	for _, t := range s.tasks[from:to] {
		if t.done {
			rec.Done = append(rec.Done, t.index)
			continue
		}
		if at, placed := t.placement(); placed {
			if rec.Placed == nil {
				rec.Placed = map[int]workload.Placement{}
			}
			rec.Placed[t.index] = at
		}
		if crashes := t.crashRecord(); !crashes.Empty() && (t.index == 0 || !s.spec.Gang) {
			if rec.Crashes == nil {
				rec.Crashes = map[int]poison.Record{}
			}
			rec.Crashes[t.index] = crashes.Record
		}
		if t.evictions > 0 {
			if rec.Evictions == nil {
				rec.Evictions = map[int]int{}
			}
			rec.Evictions[t.index] = t.evictions
		}
		failedRuns, saved := t.failedRuns, t.checkpoint
		if s.spec.Gang {
			if t.index > 0 {
				continue
			}
			failedRuns, saved = s.failedRuns, s.checkpoint
			for _, e := range s.ended {
				rec.Lost = append(rec.Lost, e.number)
			}
		}
		if len(failedRuns) > 0 {
			if rec.FailedRuns == nil {
				rec.FailedRuns = map[int]workload.FailedRuns{}
			}
			rec.FailedRuns[t.index] = failedRuns
		}
		if saved != "" {
			if rec.Checkpoints == nil {
				rec.Checkpoints = map[int]string{}
			}
			rec.Checkpoints[t.index] = saved
		}
	}
	return rec, len(rec.Done)+len(rec.FailedRuns)+len(rec.Checkpoints)+len(rec.Placed)+len(rec.Crashes)+len(rec.Evictions)+len(rec.Lost) > 0
}

// restoreParts applies the stored progress of a job that has just been created. Each row
// counts for the tasks up to the next row's first: an earlier one may still hold older
// progress of those.
func (j *job) restoreParts(main workload.Progress, more []StoredPart, newPart int) {
	var starts []int
	for _, stored := range more {
		starts = append(starts, stored.First)
	}
	for n := -1; n < len(more); n++ {
		steps, first, end := main.Steps, 0, j.tasks
		if n >= 0 {
			steps, first = more[n].Progress.Steps, more[n].First
		}
		if n+1 < len(more) {
			end = more[n+1].First
		}
		known := first // end of the range of which something is known
		for _, rec := range steps {
			known = max(known, j.restoreStep(rec, first, end))
		}
		for at := (known + newPart - 1) / newPart * newPart; at < end; at += newPart {
			if at > first {
				starts = append(starts, at)
			}
		}
	}
	j.setParts(starts)
	for _, stored := range more {
		if at, found := slices.BinarySearchFunc(j.more, stored.First, func(p *part, n int) int { return cmp.Compare(p.first, n) }); found {
			j.more[at].stored = true
		}
	}
}
