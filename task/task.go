// Package task describes one unit of work: the resources that it needs, the team
// that it runs for, and how it may be retried after a failure.
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

// Task is one unit of work. It runs on at most one worker at a time.
type Task struct {
	ID            string          `json:"id"`
	Job           string          `json:"job,omitempty"` // job ID; empty for a request
	Team          string          `json:"team"`
	Class         class.Class     `json:"class"`
	Need          resource.Vector `json:"need"`
	GangSize      int             `json:"gangSize,omitempty"` // tasks of the job that start together
	Zone          string          `json:"zone,omitempty"`     // the only zone where it may run, if set
	Rack          string          `json:"rack,omitempty"`     // the only rack where it may run, if set
	Urgent        bool            `json:"urgent,omitempty"`
	NonIdempotent bool            `json:"nonIdempotent,omitempty"` // runs at most once
	Deadline      time.Time       `json:"deadline,omitzero"`       // the task is refused if it has not started by then
	Submitted     time.Time       `json:"submitted"`
	Attempt       int             `json:"attempt,omitempty"`      // number of starts so far
	Path          []string        `json:"path,omitempty"`         // sessions that forwarded the task since its accepting host last routed it
	ForwardCount  int             `json:"order,omitempty"`        // number of times it was forwarded, to detect repeated messages
	ResumeMillis  int64           `json:"resumeMillis,omitempty"` // progress saved by a checkpoint
	Payload       json.RawMessage `json:"payload,omitempty"`
}
