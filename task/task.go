// Package task describes one unit of work: what it needs, for whom it runs, and
// what may be done with it when something fails.
//
// # Usage
//
//	t := task.Task{ID: "a.1", Team: "workshop", Class: class.Small, Need: resource.Vector{Slots: 1}}
package task

import (
	"encoding/json"
	"time"

	"github.com/cowslipgap/cowslipgap/class"
	"github.com/cowslipgap/cowslipgap/resource"
)

// Task is one unit of work. It runs in at most one place at a time.
type Task struct {
	ID            string          `json:"id"`
	Job           string          `json:"job,omitempty"` // empty for a request
	Team          string          `json:"team"`
	Class         class.Class     `json:"class"`
	Need          resource.Vector `json:"need"`
	GangSize      int             `json:"gangSize,omitempty"` // tasks of the job that start together
	Zone          string          `json:"zone,omitempty"`     // only there, if set
	Rack          string          `json:"rack,omitempty"`     // only there, if set
	Urgent        bool            `json:"urgent,omitempty"`
	NonIdempotent bool            `json:"nonIdempotent,omitempty"` // runs at most once
	Deadline      time.Time       `json:"deadline,omitzero"`       // refused if not started by then
	Submitted     time.Time       `json:"submitted"`
	Attempt       int             `json:"attempt,omitempty"` // starts so far
	Path          []string        `json:"path,omitempty"`    // sessions that forwarded it since it was last handed on
	Order         int             `json:"order,omitempty"`   // counts all times it was forwarded, to tell repeats apart
	ResumeMillis  int64           `json:"resumeMillis,omitempty"`
	Payload       json.RawMessage `json:"payload,omitempty"`
}
