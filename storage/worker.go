package storage

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cowslipgap/cowslipgap/resource"
)

// Values of Worker.State in the platform's list.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Worker is one worker in the platform's list. The list is updated some time
// after a worker changes.
type Worker struct {
	Name        string          `json:"name"`
	Zone        string          `json:"zone"`
	Rack        string          `json:"rack"`
	Addr        string          `json:"addr"` // URL
	State       string          `json:"state"`
	Capacity    resource.Vector `json:"room"`
	Connections int             `json:"connections"` // maximum number of connections
}

// StartRequest asks a worker to run one task.
type StartRequest struct {
	Task          string          `json:"task"`
	Attempt       int             `json:"attempt"`
	Team          string          `json:"team"`
	Class         string          `json:"class"`
	Owner         string          `json:"owner"`
	Need          resource.Vector `json:"need"`
	LeaseMillis   int64           `json:"leaseMillis"`
	NotAfter      int64           `json:"notAfter"` // Unix time in ms; the worker refuses a start that arrives later
	NonIdempotent bool            `json:"nonIdempotent,omitempty"`
	Payload       json.RawMessage `json:"payload,omitempty"`
	ResumeMillis  int64           `json:"resumeMillis,omitempty"` // progress saved by a checkpoint
}

// Values of Outcome.End.
const (
	EndDone         = "done"
	EndFailed       = "failed"
	EndStopped      = "stopped"
	EndCheckpointed = "checkpointed"
	EndLeaseExpired = "lapsed"
)

// Outcome is how one attempt of a task ended, as reported by its worker.
type Outcome struct {
	Task         string          `json:"task"`
	Attempt      int             `json:"attempt"`
	End          string          `json:"end"`
	Output       json.RawMessage `json:"output,omitempty"`
	Message      string          `json:"message,omitempty"`
	ResumeMillis int64           `json:"resumeMillis,omitempty"`
}

// Usage is what a running task used when its worker last measured it.
type Usage struct {
	Task string          `json:"task"`
	Used resource.Vector `json:"used"`
}

// Renewal renews the leases of an owner's tasks on a worker and asks for the
// outcomes after the sequence number After. The worker holds the call for up to
// WaitMillis while it has nothing to report.
type Renewal struct {
	Owner       string   `json:"owner"`
	LeaseMillis int64    `json:"leaseMillis"`
	NotAfter    int64    `json:"notAfter"` // Unix time in ms; a renewal that arrives later extends no lease
	Tasks       []string `json:"tasks,omitempty"`
	After       uint64   `json:"after"`
	WaitMillis  int64    `json:"waitMillis,omitempty"`
}

// Report answers a Renewal. Running lists the tasks of all owners.
type Report struct {
	Ended   []Outcome      `json:"ended,omitempty"`
	Next    uint64         `json:"next"`
	Running []StartRequest `json:"running,omitempty"`
	Usage   []Usage        `json:"usage,omitempty"`
}

// StopRequest stops tasks. If Checkpoint is set, their outcomes hold the progress
// that they saved.
type StopRequest struct {
	Tasks      []string `json:"tasks"`
	Checkpoint bool     `json:"checkpoint,omitempty"`
}

// ThrottleRequest slows tasks down to Percent percent of their speed.
type ThrottleRequest struct {
	Tasks   []string `json:"tasks"`
	Percent int      `json:"percent"`
}

// WorkerList is the platform's list of the workers of a zone. Workers is omitted
// from a reply if the list has not changed since the requested version.
type WorkerList struct {
	Version uint64   `json:"version"`
	Workers []Worker `json:"hosts,omitempty"`
}

// Workers returns the workers of an availability zone, or of all zones if zone is
// empty. The list of workers is empty if it has not changed since version.
func (c *Client) Workers(ctx context.Context, zone string, version uint64) (WorkerList, error) {
	c.init()
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	var list WorkerList
	target := c.BaseURL + "/hosts?zone=" + url.QueryEscape(zone) + "&version=" + strconv.FormatUint(version, 10)
	err := c.call(ctx, http.MethodGet, target, nil, &list)
	return list, err
}

// Run sends a request to the endpoint of the worker at addr and waits for its
// answer. The worker stops the work when ctx ends.
func (c *Client) Run(ctx context.Context, addr string, start StartRequest) (Outcome, error) {
	var outcome Outcome
	err := c.call(ctx, http.MethodPost, addr+"/endpoint", start, &outcome)
	return outcome, err
}

// StartTask starts a task under a lease on the worker at addr. A later Report
// contains its outcome.
func (c *Client) StartTask(ctx context.Context, addr string, start StartRequest) error {
	return c.call(ctx, http.MethodPost, addr+"/start", start, nil)
}

// Renew renews leases on the worker at addr.
func (c *Client) Renew(ctx context.Context, addr string, renewal Renewal) (Report, error) {
	var report Report
	err := c.call(ctx, http.MethodPost, addr+"/renew", renewal, &report)
	return report, err
}

// ThrottleTasks slows tasks down on the worker at addr.
func (c *Client) ThrottleTasks(ctx context.Context, addr string, throttle ThrottleRequest) error {
	return c.call(ctx, http.MethodPost, addr+"/throttle", throttle, nil)
}

// StopTasks stops tasks on the worker at addr.
func (c *Client) StopTasks(ctx context.Context, addr string, stop StopRequest) error {
	return c.call(ctx, http.MethodPost, addr+"/stop", stop, nil)
}
