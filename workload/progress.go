package workload

import (
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/cowslipgap/cowslipgap/poison"
)

// Progress is the part of a job's state that must survive a change of owner.
type Progress struct {
	State State        `cbor:"1,keyasint"`
	Steps []StepRecord `cbor:"2,keyasint,omitempty"`
	// Keys 3 to 5 were used by earlier versions; do not reuse them.
	Team   string `cbor:"6,keyasint,omitempty"`
	Reason string `cbor:"7,keyasint,omitempty"` // why the job failed; empty if its runs ended as failed
}

// StepRecord is the stored progress of one step of one occurrence.
type StepRecord struct {
	Occurrence  int                `cbor:"1,keyasint,omitempty"`
	Step        int                `cbor:"2,keyasint,omitempty"`
	AllDone     bool               `cbor:"3,keyasint,omitempty"`
	Done        []int              `cbor:"4,keyasint,omitempty"` // indexes of the completed tasks, unless AllDone is set
	FailedRuns  map[int]FailedRuns `cbor:"5,keyasint,omitempty"` // failed runs by task index
	Checkpoints map[int]string     `cbor:"6,keyasint,omitempty"` // by task index
	// Placed holds the runs that may be executing, by task index. A run is
	// stored here before its start command is sent.
	Placed map[int]Placement `cbor:"7,keyasint,omitempty"`
	// Crashes holds the crashes of workers under a task, by task index; those of a gang
	// are at index 0.
	Crashes map[int]poison.Record `cbor:"8,keyasint,omitempty"`
	// Evictions holds how often a task's runs were stopped to make room, by task index. A
	// stop is stored here before it is sent.
	Evictions map[int]int `cbor:"9,keyasint,omitempty"`
	// Lost holds the runs of a gang that have ended without their workers having said how.
	Lost []uint64 `cbor:"10,keyasint,omitempty"`
}

// Placement assigns a run of a task to a worker.
type Placement struct {
	Worker string `cbor:"1,keyasint"`
	Run    uint64 `cbor:"2,keyasint"`
	// StartedAt is the start of the worker's incarnation, in Unix milliseconds, 0 if
	// unknown. A worker with another start has crashed under the run.
	StartedAt int64 `cbor:"3,keyasint,omitempty"`
}

// progressEncoder writes the keys of maps in order, so that equal progress has equal rows.
var progressEncoder = newEncoder(cbor.EncOptions{Sort: cbor.SortBytewiseLexical})

func newEncoder(options cbor.EncOptions) cbor.EncMode {
	mode, err := options.EncMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// Encode encodes the progress for storage.
func (p *Progress) Encode() ([]byte, error) {
	data, err := progressEncoder.Marshal(p)
	return data, errors.Wrap(err, "encode progress")
}

// DecodeProgress decodes stored progress.
func DecodeProgress(data []byte) (*Progress, error) {
	p := &Progress{}
	if err := cbor.Unmarshal(data, p); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decode progress"), ErrMalformed)
	}
	if p.State < Queued || p.State > Cancelled {
		return nil, errors.Mark(errors.Newf("invalid job state %d", p.State), ErrMalformed)
	}
	return p, nil
}

// FailedRuns holds the numbers of the failed runs of a task or, at index 0, of a gang.
// A counter would count runs twice: workers report a run until it is acknowledged,
// and a new owner receives reports on the same task from several workers in any
// order.
type FailedRuns []uint64

// Add adds a failed run and reports whether it was not there yet.
func (f *FailedRuns) Add(run uint64) bool {
	if slices.Contains(*f, run) {
		return false
	}
	*f = append(*f, run)
	return true
}
