// Package class names the kinds of workload. Each kind has its own queue
// discipline in package placement.
//
// # Usage
//
//	c, err := class.Parse("lookup")
package class

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// Class is a kind of workload.
type Class string

// The kinds of workload, most urgent first.
const (
	Lookup  Class = "lookup"  // answered at once
	Service Class = "service" // long-running, spread, replaced when lost
	Large   Class = "large"   // patient and costly, first among the patient
	Small   Class = "small"   // patient and cheap
	Gang    Class = "gang"    // all tasks of the job start together
	Batch   Class = "batch"   // packed tight, can be checkpointed
)

// All lists every class, most urgent first.
var All = []Class{Lookup, Service, Large, Small, Gang, Batch}

// ErrUnknown says that a name is not a class.
var ErrUnknown = errors.New("class: unknown")

// Parse returns the class called name.
func Parse(name string) (Class, error) {
	for _, c := range All {
		if string(c) == name {
			return c, nil
		}
	}
	names := make([]string, len(All))
	for i, c := range All {
		names[i] = string(c)
	}
	return "", errors.Mark(errors.Newf("class %q does not exist; use one of %s", name, strings.Join(names, ", ")), ErrUnknown)
}

// Interactive reports whether a caller usually waits for the answer.
func (c Class) Interactive() bool { return c == Lookup || c == Large || c == Small }

// Preemptible reports whether a running task of the class may be checkpointed
// or stopped to make room.
func (c Class) Preemptible() bool { return c == Batch }
