package demo

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipgap/cowslipgap/client"
	"github.com/cowslipgap/cowslipgap/gateway"
	"github.com/cowslipgap/cowslipgap/pause"
	"github.com/cowslipgap/cowslipgap/record"
	"github.com/cowslipgap/cowslipgap/refusal"
)

const (
	checkInterval = 200 * time.Millisecond
	// probeTeam is the team whose record checkRecordChange writes.
	probeTeam = "prober"
	// maxRecordDelay is the users' limit on the time until a record change is in
	// effect on every host.
	maxRecordDelay = 9 * time.Second
)

// Property is a property that the users require, with how often it was checked
// and how often it did not hold.
type Property struct {
	Name       string `json:"name"`
	Checks     int    `json:"checks"`
	Violations int    `json:"violations"`
}

// propertyChecks holds the results of the checks made while the load runs.
type propertyChecks struct {
	drains drainTimes

	mu             sync.Mutex
	keys           Property          // requests with a wrong secret
	revisions      Property          // the revision in effect on a host must not decrease
	inEffect       Property          // changes must be in effect on every host within maxRecordDelay
	newestRevision map[string]uint64 // highest revision seen, by host name
	probeRevision  uint64            // last known revision of the record of probeTeam
}

// drainTimes records the periods of graceful shutdowns, by the URL of the host.
type drainTimes struct {
	mu      sync.Mutex
	periods map[string][][2]time.Time // begin and end; the end is zero during the shutdown
}

func (d *drainTimes) begin(url string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.periods == nil {
		d.periods = map[string][][2]time.Time{}
	}
	d.periods[url] = append(d.periods[url], [2]time.Time{time.Now(), {}})
}

func (d *drainTimes) end(url string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	periods := d.periods[url]
	periods[len(periods)-1][1] = time.Now()
}

// overlaps reports whether the host at url was shutting down at some time between
// from and to.
func (d *drainTimes) overlaps(url string, from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, period := range d.periods[url] {
		if to.After(period[0]) && (period[1].IsZero() || from.Before(period[1])) {
			return true
		}
	}
	return false
}

// monitor checks keys and records and restarts hosts whose work a sibling took
// over, until ctx is done.
func (d *Demo) monitor(ctx context.Context) {
	for i := 0; pause.Sleep(ctx, checkInterval); i++ {
		for _, n := range d.nodes {
			n.restartIfFenced(ctx)
			d.checkRevision(n)
		}
		d.checkWrongSecret(ctx, d.nodes[i%len(d.nodes)])
		if i%10 == 0 {
			d.checkRecordChange(ctx)
		}
	}
}

// checkRevision checks that the revision of the records in effect on a host never
// decreases.
func (d *Demo) checkRevision(n *node) {
	h := n.current()
	revision := h.Summary().Revision
	d.checks.mu.Lock()
	defer d.checks.mu.Unlock()
	if d.checks.newestRevision == nil {
		d.checks.newestRevision = map[string]uint64{}
	}
	d.checks.revisions.Checks++
	if h.Ready() && revision < d.checks.newestRevision[n.settings.Name] {
		d.checks.revisions.Violations++
	}
	d.checks.newestRevision[n.settings.Name] = max(revision, d.checks.newestRevision[n.settings.Name])
}

// checkWrongSecret sends a request with a wrong secret, which must be refused.
func (d *Demo) checkWrongSecret(ctx context.Context, n *node) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	c := client.Client{BaseURL: n.url(), Key: d.Deployment.Teams[0].Name + ".not-the-secret-of-it"}
	_, err := c.Submit(ctx, gateway.SubmitBody{Class: "lookup", Payload: json.RawMessage(`{"tag":"forged"}`)})
	var r *refusal.Refusal
	d.checks.mu.Lock()
	defer d.checks.mu.Unlock()
	if err == nil {
		d.checks.keys.Checks++
		d.checks.keys.Violations++
	} else if errors.As(err, &r) {
		d.checks.keys.Checks++
	}
}

// checkRecordChange writes a record. In runs without faults it checks that the
// change is in effect on every host within maxRecordDelay.
func (d *Demo) checkRecordChange(ctx context.Context) {
	writeCtx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	body := gateway.RecordBody{Schema: 1, Revision: d.checks.probeRevision, Data: json.RawMessage(`{"title":"probe"}`)}
	after, err := d.operatorClient().PutRecord(writeCtx, record.KindTeam, probeTeam, body)
	if err != nil {
		if s, err := d.operatorClient().GetRecord(writeCtx, record.KindTeam, probeTeam); err == nil {
			d.checks.probeRevision = s.Versions[0].Revision
		}
		return
	}
	d.checks.probeRevision = after.Revision
	d.checks.inEffect.Checks++
	if d.Faults {
		return // a change must stay pending while a host is isolated
	}
	began := time.Now()
	for ctx.Err() == nil {
		s, err := d.operatorClient().GetRecord(ctx, record.KindTeam, probeTeam)
		if err == nil && s.State == "accepted" {
			return
		}
		if time.Since(began) > maxRecordDelay {
			d.checks.inEffect.Violations++
			return
		}
		pause.Sleep(ctx, pollInterval)
	}
}

// properties returns the required properties with their counts.
func (d *Demo) properties(r Report) []Property {
	c := &d.checks
	c.mu.Lock()
	defer c.mu.Unlock()
	ownResponse, nonIdempotent, notRun, drained := Property{}, Property{}, Property{}, Property{}
	for _, q := range d.load.Result().Requests {
		started, _ := d.standin.Ledger.CountByTag(q.Tag)
		if q.Ran == "done" {
			ownResponse.count(q.Mismatch)
		}
		if q.NonIdempotent {
			nonIdempotent.count(started > 1)
		}
		if q.Ran == refusal.NotRun {
			notRun.count(started > 0)
		}
		if c.drains.overlaps(q.EntryURL, q.SentAt, q.EndedAt) {
			drained.count(q.ConnectionLost)
		}
	}
	forgedStarts, _ := d.standin.Ledger.CountByTag("forged")
	c.keys.Violations += forgedStarts
	return []Property{
		{"no worker over its room", r.Counts.Starts, r.Counts.OverCapacity},
		{"no task in two places", r.Counts.Starts, r.RanTwice},
		c.keys.withName("no work under a wrong key"),
		{"no team over its limit", r.Counts.Starts, r.OverLimit},
		ownResponse.withName("each caller has the answer to its own request"),
		notRun.withName("refused as not run did not run"),
		nonIdempotent.withName("non-idempotent ran at most once"),
		{"a leaving endpoint gets nothing new", r.Counts.Starts, r.Counts.ToLeavingLate},
		drained.withName("a graceful shutdown cuts off no request"),
		c.revisions.withName("records in force never go back"),
		c.inEffect.withName("a change is in force everywhere in time"),
		{"accepted work was done", r.Accepted, r.Lost},
	}
}

func (p *Property) count(violated bool) {
	p.Checks++
	if violated {
		p.Violations++
	}
}

func (p Property) withName(name string) Property {
	p.Name = name
	return p
}
