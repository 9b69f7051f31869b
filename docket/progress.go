package docket

import (
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Progress is what has become of a job so far, as far as it must survive.
type Progress struct {
	State State        `cbor:"1,keyasint"`
	Steps []StepRecord `cbor:"2,keyasint,omitempty"`
	// The numbers 3 to 5 were used by earlier versions.
	Team string `cbor:"6,keyasint,omitempty"`
}

// StepRecord is the progress of one step of one occurrence.
type StepRecord struct {
	Occurrence  int            `cbor:"1,keyasint,omitempty"`
	Step        int            `cbor:"2,keyasint,omitempty"`
	AllDone     bool           `cbor:"3,keyasint,omitempty"`
	Done        []int          `cbor:"4,keyasint,omitempty"` // indexes, unless AllDone
	Faults      map[int]Faults `cbor:"5,keyasint,omitempty"` // failed runs by index
	Checkpoints map[int]string `cbor:"6,keyasint,omitempty"` // by index
	// Placed are the runs that may be at work, by index. A run is stored here
	// before its start is sent.
	Placed map[int]Placement `cbor:"7,keyasint,omitempty"`
}

// Placement is a run of a task on a worker.
type Placement struct {
	Worker string `cbor:"1,keyasint"`
	Run    uint64 `cbor:"2,keyasint"`
}

// Encode returns the stored form.
func (p *Progress) Encode() ([]byte, error) {
	data, err := cbor.Marshal(p)
	return data, errors.Wrap(err, "encode progress")
}

// DecodeProgress reads the stored form.
func DecodeProgress(data []byte) (*Progress, error) {
	p := &Progress{}
	if err := cbor.Unmarshal(data, p); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decode progress"), ErrMalformed)
	}
	if p.State < Queued || p.State > Cancelled {
		return nil, errors.Mark(errors.Newf("job state %d", p.State), ErrMalformed)
	}
	return p, nil
}

// Faults are the numbers of the failed runs of a task or, under index 0, of a
// gang. Workers repeat what they list until it is acknowledged, and a new owner
// hears of the same task's runs from several workers in any order, so a count
// would not do.
type Faults []uint64

// Add notes a failed run and reports whether it is new.
func (f *Faults) Add(run uint64) bool {
	if slices.Contains(*f, run) {
		return false
	}
	*f = append(*f, run)
	return true
}
