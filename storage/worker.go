package storage

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cowslipgap/cowslipgap/resource"
)

// Host states in the platform's list.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Host is one worker in the platform's list, which lags behind reality.
type Host struct {
	Name        string          `json:"name"`
	Zone        string          `json:"zone"`
	Rack        string          `json:"rack"`
	Addr        string          `json:"addr"` // URL
	State       string          `json:"state"`
	Room        resource.Vector `json:"room"`
	Connections int             `json:"connections"`
}

// Start asks a worker to run one task.
type Start struct {
	Task          string          `json:"task"`
	Attempt       int             `json:"attempt"`
	Team          string          `json:"team"`
	Class         string          `json:"class"`
	Owner         string          `json:"owner"`
	Need          resource.Vector `json:"need"`
	LeaseMillis   int64           `json:"leaseMillis"`
	NotAfter      int64           `json:"notAfter"` // Unix time in ms; a later start is refused
	NonIdempotent bool            `json:"nonIdempotent,omitempty"`
	Payload       json.RawMessage `json:"payload,omitempty"`
	ResumeMillis  int64           `json:"resumeMillis,omitempty"` // progress saved by a checkpoint
}

// Ways in which a task ends at a worker.
const (
	EndDone         = "done"
	EndFailed       = "failed"
	EndStopped      = "stopped"
	EndCheckpointed = "checkpointed"
	EndLapsed       = "lapsed"
)

// Outcome is the end of one attempt of a task, reported by its worker.
type Outcome struct {
	Task         string          `json:"task"`
	Attempt      int             `json:"attempt"`
	End          string          `json:"end"`
	Output       json.RawMessage `json:"output,omitempty"`
	Message      string          `json:"message,omitempty"`
	ResumeMillis int64           `json:"resumeMillis,omitempty"`
}

// Usage is what a running task used a while ago.
type Usage struct {
	Task string          `json:"task"`
	Used resource.Vector `json:"used"`
}

// Renewal renews the leases of an owner's tasks on a worker and collects the
// outcomes after sequence number After. The worker holds the call for up to
// WaitMillis while there is nothing to tell.
type Renewal struct {
	Owner       string   `json:"owner"`
	LeaseMillis int64    `json:"leaseMillis"`
	NotAfter    int64    `json:"notAfter"` // Unix time in ms; a later renewal extends nothing
	Tasks       []string `json:"tasks,omitempty"`
	After       uint64   `json:"after"`
	WaitMillis  int64    `json:"waitMillis,omitempty"`
}

// Report answers a Renewal. Running lists the tasks of every owner.
type Report struct {
	Ended   []Outcome `json:"ended,omitempty"`
	Next    uint64    `json:"next"`
	Running []Start   `json:"running,omitempty"`
	Usage   []Usage   `json:"usage,omitempty"`
}

// StopOrder stops tasks; with Checkpoint, their progress is reported back.
type StopOrder struct {
	Tasks      []string `json:"tasks"`
	Checkpoint bool     `json:"checkpoint,omitempty"`
}

// ThrottleOrder slows tasks down to a part of their speed.
type ThrottleOrder struct {
	Tasks   []string `json:"tasks"`
	Percent int      `json:"percent"`
}

// HostList is the platform's list of a zone's workers. Hosts is left out of a
// reply if nothing has changed since the version asked for.
type HostList struct {
	Version uint64 `json:"version"`
	Hosts   []Host `json:"hosts,omitempty"`
}

// Hosts lists the workers of an availability zone if the list has changed since
// version.
func (c *Client) Hosts(ctx context.Context, zone string, version uint64) (HostList, error) {
	c.init()
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	var list HostList
	target := c.Base + "/hosts?zone=" + url.QueryEscape(zone) + "&version=" + strconv.FormatUint(version, 10)
	err := c.call(ctx, http.MethodGet, target, nil, &list)
	return list, err
}

// Run sends a request to the endpoint of the worker at addr and waits for its
// answer. The worker ends the work when ctx is done.
func (c *Client) Run(ctx context.Context, addr string, start Start) (Outcome, error) {
	var outcome Outcome
	err := c.call(ctx, http.MethodPost, addr+"/endpoint", start, &outcome)
	return outcome, err
}

// StartTask starts a task under a lease on the worker at addr. Its end comes
// with a later Report.
func (c *Client) StartTask(ctx context.Context, addr string, start Start) error {
	return c.call(ctx, http.MethodPost, addr+"/start", start, nil)
}

// Renew renews leases on the worker at addr.
func (c *Client) Renew(ctx context.Context, addr string, renewal Renewal) (Report, error) {
	var report Report
	err := c.call(ctx, http.MethodPost, addr+"/renew", renewal, &report)
	return report, err
}

// ThrottleTasks slows tasks down on the worker at addr.
func (c *Client) ThrottleTasks(ctx context.Context, addr string, order ThrottleOrder) error {
	return c.call(ctx, http.MethodPost, addr+"/throttle", order, nil)
}

// StopTasks ends tasks on the worker at addr.
func (c *Client) StopTasks(ctx context.Context, addr string, order StopOrder) error {
	return c.call(ctx, http.MethodPost, addr+"/stop", order, nil)
}
