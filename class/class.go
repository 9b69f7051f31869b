// Package class defines the classes of workload. Package placement queues and
// places each class by its own rules.
//
// # Usage
//
//	c, err := class.Parse("lookup")
package class

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// Class is a class of workload.
type Class string

// The classes of workload, most urgent first. Large, Small, Gang and Batch are
// delay-tolerant: they are placed after lookups and services, by their teams'
// shares.
const (
	Lookup  Class = "lookup"  // answered immediately
	Service Class = "service" // long-running, spread over racks, replaced when lost
	Large   Class = "large"   // delay-tolerant and costly, preferred to the classes below
	Small   Class = "small"   // delay-tolerant and cheap
	Gang    Class = "gang"    // all tasks of the job start together
	Batch   Class = "batch"   // packed tightly, can be checkpointed
)

// All lists every class, most urgent first.
var All = []Class{Lookup, Service, Large, Small, Gang, Batch}

// ErrUnknown marks the error of a name that is not a class.
var ErrUnknown = errors.New("class: unknown")

// Parse returns the class with the given name.
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

// Interactive reports whether a caller usually waits for the result.
func (c Class) Interactive() bool { return c == Lookup || c == Large || c == Small }

// Preemptible reports whether a running task of the class may be checkpointed
// or stopped to free capacity.
func (c Class) Preemptible() bool { return c == Batch }
