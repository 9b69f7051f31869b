package cell

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cowslipgap/cowslipgap/workload"
)

// Stored is what the store holds of a cell.
type Stored struct {
	Jobs       []StoredJob
	Workers    []WorkerRef
	Unreadable []UnreadableRow
}

// UnreadableRow names a row that cannot be decoded. It stays as it is.
type UnreadableRow struct {
	Table  Table
	Key    string
	Reason string
}

// StoredRows assembles a cell from its rows. The zero value has none. A row that cannot be
// decoded keeps an owner from no other.
type StoredRows struct {
	jobs       map[string]*storedRows
	workers    []WorkerRef
	unreadable []UnreadableRow
}

// storedRows is what the rows of a job hold.
type storedRows struct {
	StoredJob
	shares    [][]byte // of the specification, until they are complete
	decodeErr error
	stateLost bool // its first row of progress cannot be decoded
	leftOver  bool // an earlier row is missing: one commit wrote all, others delete them once the job has ended
}

func (r *StoredRows) job(id string) *storedRows {
	if r.jobs == nil {
		r.jobs = map[string]*storedRows{}
	}
	if r.jobs[id] == nil {
		r.jobs[id] = &storedRows{StoredJob: StoredJob{ID: id}}
	}
	return r.jobs[id]
}

func (r *StoredRows) skip(table Table, key string, err error) {
	r.unreadable = append(r.unreadable, UnreadableRow{Table: table, Key: key, Reason: err.Error()})
}

// AddSpec adds a row of the table Jobs. The rows of a job must be added in the order of their
// keys.
func (r *StoredRows) AddSpec(key string, value []byte) {
	id, n, err := parseRowKey(key)
	if err != nil {
		r.skip(Jobs, key, err)
		return
	}
	j := r.job(id)
	missing := n > j.Rows
	j.Rows = n + 1
	if missing || j.leftOver {
		j.leftOver = true
		return
	}
	j.shares = append(j.shares, value)
	if j.Job, j.decodeErr = workload.DecodeJob(slices.Concat(j.shares...)); j.decodeErr == nil {
		j.shares = nil
	}
}

// AddProgress adds a row of the table Progress.
func (r *StoredRows) AddProgress(key string, value []byte) {
	id, first, err := parseRowKey(key)
	if err != nil {
		r.skip(Progress, key, err)
		return
	}
	j := r.job(id)
	progress, err := workload.DecodeProgress(value)
	switch {
	case err != nil:
		j.Unreadable, j.stateLost = true, j.stateLost || first == 0
		r.skip(Progress, key, err)
	case first == 0:
		j.Progress = progress
	default:
		j.More = append(j.More, StoredPart{First: first, Progress: progress})
	}
}

// AddRoster adds a row of the table Roster.
func (r *StoredRows) AddRoster(key string, value []byte) {
	refs, err := DecodeRoster(value)
	if err != nil {
		r.skip(Roster, key, err)
		return
	}
	r.workers = append(r.workers, refs...)
}

// Cell returns the jobs, in the order of their IDs, and the workers. A job that has not ended
// and cannot be decoded is among the jobs, because it is accepted work.
func (r *StoredRows) Cell() Stored {
	out := Stored{Jobs: make([]StoredJob, 0, len(r.jobs)), Workers: r.workers, Unreadable: r.unreadable}
	for _, id := range slices.Sorted(maps.Keys(r.jobs)) {
		j := r.jobs[id]
		if j.Rows == 0 && j.Progress == nil && len(j.More) == 0 && !j.stateLost {
			continue // only a later row of an ended job is left, and cannot be decoded
		}
		switch ended := j.Progress != nil && j.Progress.State.Final(); {
		case ended:
			j.Unreadable = false
		case j.decodeErr != nil && !j.leftOver:
			j.Unreadable = true
			out.Unreadable = append(out.Unreadable, UnreadableRow{Table: Jobs, Key: id, Reason: j.decodeErr.Error()})
		case j.Progress != nil && (j.leftOver || j.Rows == 0):
			j.Unreadable = true
			out.Unreadable = append(out.Unreadable, UnreadableRow{Table: Jobs, Key: id, Reason: "its progress is stored, its specification is not"})
		}
		if j.leftOver || j.decodeErr != nil {
			j.Job = nil
		}
		slices.SortFunc(j.More, func(a, b StoredPart) int { return cmp.Compare(a.First, b.First) })
		out.Jobs = append(out.Jobs, j.StoredJob)
	}
	return out
}
