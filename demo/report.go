package demo

import (
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/cowslipgap/cowslipgap/fairshare"
	"github.com/cowslipgap/cowslipgap/host"
	"github.com/cowslipgap/cowslipgap/job"
	"github.com/cowslipgap/cowslipgap/refusal"
	"github.com/cowslipgap/cowslipgap/standin"
)

// Report holds the measurements of a run and the counts of the workers.
type Report struct {
	Deployment       string         `json:"deployment"`
	Seed             uint64         `json:"seed"`
	Length           time.Duration  `json:"lengthNanos"`
	Work             []WorkStats    `json:"work"`
	Packing          float64        `json:"packing"` // used slots as a fraction of all slots, in the second half of the load
	Teams            []TeamUsage    `json:"teams"`
	Control          SchedulingCost `json:"control"`
	Refusals         map[string]int `json:"refusals"`
	Counts           standin.Counts `json:"counts"`
	Accepted         int            `json:"acceptedTasks"`
	Lost             int            `json:"lost"`
	RanTwice         int            `json:"doubled"`
	OverLimit        int            `json:"overLimit"`
	RanThoughRefused int            `json:"falseNotRun"` // requests that ran although they were refused as not run
	Properties       []Property     `json:"properties"`
	Faults           []Fault        `json:"faults,omitempty"`
}

// WorkStats holds the counts and waiting times of one workload. The waiting time is
// the time from sending a request to its response, minus the duration of the work
// itself.
type WorkStats struct {
	Name     string        `json:"name"`
	Class    string        `json:"class"`
	Sent     int           `json:"sent"`
	Answered int64         `json:"answered"`
	P50      time.Duration `json:"p50Nanos"`
	P99      time.Duration `json:"p99Nanos"`
	Max      time.Duration `json:"maxNanos"`
}

// TeamUsage compares a team's usage with its share.
type TeamUsage struct {
	Name  string  `json:"name"`
	Share float64 `json:"due"`  // what the team should use by its weight and limit, as a fraction of the slots used by all teams
	Used  float64 `json:"used"` // measured, as a fraction of the slots used by all teams
}

// Deviation returns the difference between usage and share as a fraction of the share.
func (u TeamUsage) Deviation() float64 {
	if u.Share == 0 {
		return 0
	}
	return math.Abs(u.Used-u.Share) / u.Share
}

// SchedulingCost is the cost of scheduling.
type SchedulingCost struct {
	Hosts          int     `json:"hosts"`
	Starts         int64   `json:"starts"`
	CorePercent    float64 `json:"corePercent"`    // time that the control goroutine of a host spent on events and effects, in percent of one core
	MicrosPerStart float64 `json:"microsPerStart"` // the same time, in microseconds per start
	TableWrites    float64 `json:"tableWrites"`    // per second, all hosts together
	PeerBytes      float64 `json:"peerBytes"`      // per second and host, both directions
	Forwards       int64   `json:"forwards"`
}

// Clean reports whether no property was violated, nothing was lost or ran twice,
// and no limit or capacity was exceeded.
func (r Report) Clean() bool {
	for _, p := range r.Properties {
		if p.Violations > 0 {
			return false
		}
	}
	return r.Lost == 0 && r.RanTwice == 0 && r.OverLimit == 0 && r.RanThoughRefused == 0 && r.Counts.OverCapacity == 0
}

func (d *Demo) report(began, ended time.Time, c host.Counters, writes uint64) Report {
	length := ended.Sub(began)
	r := Report{
		Deployment: d.Deployment.Title, Seed: d.Seed, Length: length.Round(time.Millisecond),
		Counts: d.standin.Ledger.Count(), Refusals: d.load.Result().Codes,
	}
	hosts := float64(len(d.nodes))
	r.Control = SchedulingCost{
		Hosts: len(d.nodes), Starts: c.Starts, Forwards: c.Forwards,
		CorePercent:    100 * c.ControlTime.Seconds() / length.Seconds() / hosts,
		MicrosPerStart: float64(c.ControlTime.Microseconds()) / float64(max(1, c.Starts)),
		TableWrites:    float64(writes) / length.Seconds(),
		// Each byte is counted only by the host that opened the connection, but
		// is traffic of two hosts.
		PeerBytes: 2 * float64(c.PeerBytesSent+c.PeerBytesReceived) / length.Seconds() / hosts,
	}
	d.reportWork(&r)
	d.reportShares(&r, began.Add(length/2), ended)
	d.reportOutcomes(&r)
	r.Properties = d.properties(r)
	r.Faults = d.measureGoodput()
	return r
}

func (d *Demo) reportWork(r *Report) {
	res := d.load.Result()
	const median, tail = 50, 99
	for _, w := range d.Deployment.Workloads {
		h := res.Waits[w.Name]
		r.Work = append(r.Work, WorkStats{
			Name: w.Name, Class: string(w.Class), Sent: res.Sent[w.Name], Answered: h.TotalCount(),
			P50: time.Duration(h.ValueAtQuantile(median)), P99: time.Duration(h.ValueAtQuantile(tail)), Max: time.Duration(h.Max()),
		})
	}
}

// reportShares compares each team's usage with its share, over the samples taken
// between from and to.
func (d *Demo) reportShares(r *Report, from, to time.Time) {
	used, samples, total := map[string]float64{}, 0, 0.0
	for _, s := range d.standin.Ledger.Samples() {
		if s.At.Before(from) || s.At.After(to) {
			continue
		}
		samples++
		for team, v := range s.Used {
			used[team] += float64(v.Slots)
			total += float64(v.Slots)
		}
	}
	if samples == 0 || total == 0 {
		return
	}
	slots := float64(d.Deployment.TotalCapacity().Slots)
	r.Packing = total / float64(samples) / slots
	weights, caps := map[string]float64{}, map[string]float64{}
	for _, t := range d.Deployment.Teams {
		weights[t.Name] = t.Share
		if t.Limit > 0 {
			caps[t.Name] = float64(t.Limit)
		}
	}
	mean := total / float64(samples)
	shares := fairshare.Divide(mean, weights, caps)
	for _, t := range d.Deployment.Teams {
		r.Teams = append(r.Teams, TeamUsage{Name: t.Name, Share: shares[t.Name] / mean, Used: used[t.Name] / total})
	}
}

// reportOutcomes compares the responses to callers with the counts of the workers.
func (d *Demo) reportOutcomes(r *Report) {
	res, ledger := d.load.Result(), &d.standin.Ledger
	r.RanTwice, r.OverLimit = r.Counts.RanTwice, r.Counts.OverLimit
	for _, j := range res.Jobs {
		r.Accepted += j.Tasks
		_, done := ledger.CountByTag(j.Tag)
		r.Lost += max(0, j.Tasks-done)
		if done < j.Tasks {
			d.Log.Warn("demo: job not done", "job", j.ID, "team", j.Team, "tasks", j.Tasks, "done", done, "state", j.State, "err", j.Err)
		}
		if j.State != job.Done && done == j.Tasks {
			r.Lost++ // it ran, but was never reported as done
		}
		r.RanTwice += max(0, done-j.Tasks)
	}
	for _, q := range res.Requests {
		started, done := ledger.CountByTag(q.Tag)
		switch q.Ran {
		case "done":
			r.Accepted++
			r.Lost += max(0, 1-done)
			r.RanTwice += max(0, done-1)
		case refusal.NotRun:
			if started > 0 {
				r.RanThoughRefused++
			}
		}
	}
}

// String formats the report as text.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s of load, seed %d\n\n", r.Deployment, r.Length, r.Seed)
	fmt.Fprintf(&b, "%-20s %-8s %7s %9s %10s %10s %10s\n", "waiting time", "class", "sent", "answered", "p50", "p99", "longest")
	for _, w := range r.Work {
		if w.Answered == 0 {
			fmt.Fprintf(&b, "%-20s %-8s %7d %9s\n", w.Name, w.Class, w.Sent, "as jobs")
			continue
		}
		fmt.Fprintf(&b, "%-20s %-8s %7d %9d %10s %10s %10s\n", w.Name, w.Class, w.Sent, w.Answered, formatDuration(w.P50), formatDuration(w.P99), formatDuration(w.Max))
	}
	fmt.Fprintf(&b, "\npacking              %.1f%% of the slots in use\n", 100*r.Packing)
	fmt.Fprintf(&b, "\n%-20s %8s %8s %8s\n", "share of usage", "due", "used", "off by")
	for _, t := range r.Teams {
		fmt.Fprintf(&b, "%-20s %7.1f%% %7.1f%% %7.1f%%\n", t.Name, 100*t.Share, 100*t.Used, 100*t.Deviation())
	}
	c := r.Control
	fmt.Fprintf(&b, "\ncontrol cost         %d hosts, %d starts; per host: %.2f%% of a core for decisions (%.0f µs per start), %.1f KB/s with its peers\n",
		c.Hosts, c.Starts, c.CorePercent, c.MicrosPerStart, c.PeerBytes/1024)
	fmt.Fprintf(&b, "                     %.1f table writes per second in total, %d tasks forwarded\n", c.TableWrites, c.Forwards)
	if len(r.Refusals) > 0 {
		fmt.Fprintf(&b, "refusals             %v\n", r.Refusals)
	}
	fmt.Fprintf(&b, "\ncounted at the workers: %d starts, %d done, %d tasks accepted or answered\n", r.Counts.Starts, r.Counts.Done, r.Accepted)
	r.writeFaults(&b)
	fmt.Fprintf(&b, "\n%-46s %9s %10s\n", "property", "checks", "violations")
	for _, p := range r.Properties {
		fmt.Fprintf(&b, "%-46s %9d %10d\n", p.Name, p.Checks, p.Violations)
	}
	fmt.Fprintf(&b, "\nlost                 %d\ndoubled              %d\nover limit           %d\nover room            %d\nran though refused   %d\n",
		r.Lost, r.RanTwice, r.OverLimit, r.Counts.OverCapacity, r.RanThoughRefused)
	return b.String()
}

func formatDuration(d time.Duration) string {
	switch {
	case d >= time.Second:
		return d.Round(10 * time.Millisecond).String()
	case d >= time.Millisecond:
		return d.Round(10 * time.Microsecond).String()
	default:
		return d.Round(time.Microsecond).String()
	}
}
