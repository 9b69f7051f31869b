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
	watchEvery = 200 * time.Millisecond
	probeTeam  = "prober"
	// inForceWithin is the users' bound for a change to be in force everywhere.
	inForceWithin = 9 * time.Second
)

// Property is one of the brief's promises, how often it was checked and how
// often it did not hold.
type Property struct {
	Name       string `json:"name"`
	Checks     int    `json:"checks"`
	Violations int    `json:"violations"`
}

// checks collects what is checked while the load runs.
type checks struct {
	drains drains

	mu       sync.Mutex
	keys     Property // calls with a wrong or withdrawn key
	reverts  Property // readings of the revision that a host has in force
	inForce  Property // changes written, and in force everywhere in time
	newest   map[string]uint64
	revision uint64
}

// drains remembers when hosts shut down gracefully.
type drains struct {
	mu    sync.Mutex
	spans map[string][][2]time.Time
}

func (d *drains) begin(url string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.spans == nil {
		d.spans = map[string][][2]time.Time{}
	}
	d.spans[url] = append(d.spans[url], [2]time.Time{time.Now(), {}})
}

func (d *drains) end(url string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	spans := d.spans[url]
	spans[len(spans)-1][1] = time.Now()
}

// covers reports whether a request was under way while its host shut down.
func (d *drains) covers(url string, from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, span := range d.spans[url] {
		if to.After(span[0]) && (span[1].IsZero() || from.Before(span[1])) {
			return true
		}
	}
	return false
}

// watch checks keys and records, and restarts hosts that were taken over, until
// ctx is done.
func (d *Demo) watch(ctx context.Context) {
	for i := 0; pause.For(ctx, watchEvery); i++ {
		for _, p := range d.places {
			p.tend(ctx)
			d.checkRevision(p)
		}
		d.checkKey(ctx, d.places[i%len(d.places)])
		if i%10 == 0 {
			d.checkChange(ctx)
		}
	}
}

// checkRevision checks that the records in force at a host never go back.
func (d *Demo) checkRevision(p *place) {
	h := p.current()
	revision := h.Summary().Revision
	d.checks.mu.Lock()
	defer d.checks.mu.Unlock()
	if d.checks.newest == nil {
		d.checks.newest = map[string]uint64{}
	}
	d.checks.reverts.Checks++
	if h.Ready() && revision < d.checks.newest[p.settings.Name] {
		d.checks.reverts.Violations++
	}
	d.checks.newest[p.settings.Name] = max(revision, d.checks.newest[p.settings.Name])
}

// checkKey calls with a key that is not known.
func (d *Demo) checkKey(ctx context.Context, p *place) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	c := client.Client{Base: p.url(), Key: d.Deployment.Teams[0].Name + ".not-the-secret-of-it"}
	_, err := c.Submit(ctx, gateway.Body{Class: "lookup", Payload: json.RawMessage(`{"tag":"forged"}`)})
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

// checkChange writes a record and, without faults, checks that it is in force
// everywhere within the users' bound.
func (d *Demo) checkChange(ctx context.Context) {
	writing, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	body := gateway.RecordBody{Schema: 1, Revision: d.checks.revision, Data: json.RawMessage(`{"title":"probe"}`)}
	after, err := d.operator().PutRecord(writing, record.KindTeam, probeTeam, body)
	if err != nil {
		if s, err := d.operator().GetRecord(writing, record.KindTeam, probeTeam); err == nil {
			d.checks.revision = s.Versions[0].Revision
		}
		return
	}
	d.checks.revision = after.Revision
	d.checks.inForce.Checks++
	if d.Faults {
		return // a host that is cut off leaves the change pending, as it must
	}
	began := time.Now()
	for ctx.Err() == nil {
		s, err := d.operator().GetRecord(ctx, record.KindTeam, probeTeam)
		if err == nil && s.State == "accepted" {
			return
		}
		if time.Since(began) > inForceWithin {
			d.checks.inForce.Violations++
			return
		}
		pause.For(ctx, pollEvery)
	}
}

// properties lists the promises of the brief with what was counted.
func (d *Demo) properties(r Report) []Property {
	c := &d.checks
	c.mu.Lock()
	defer c.mu.Unlock()
	answers, once, notRun, drained := Property{}, Property{}, Property{}, Property{}
	for _, q := range d.load.Result().Requests {
		started, _ := d.standin.Ledger.Tagged(q.Tag)
		if q.Ran == "done" {
			answers.count(q.Mismatch)
		}
		if q.NonIdempotent {
			once.count(started > 1)
		}
		if q.Ran == refusal.NotRun {
			notRun.count(started > 0)
		}
		if c.drains.covers(q.Entry, q.At, q.Ended) {
			drained.count(q.Broken)
		}
	}
	forged, _ := d.standin.Ledger.Tagged("forged")
	c.keys.Violations += forged
	return []Property{
		{"no worker over its room", r.Counts.Starts, r.Counts.OverRoom},
		{"no task in two places", r.Counts.Starts, r.Doubled},
		c.keys.named("no work under a wrong key"),
		{"no team over its limit", r.Counts.Starts, r.OverLimit},
		answers.named("each caller has the answer to its own request"),
		notRun.named("refused as not run did not run"),
		once.named("non-idempotent ran at most once"),
		{"a leaving endpoint gets nothing new", r.Counts.Starts, r.Counts.TooLate},
		drained.named("a graceful shutdown cuts off no request"),
		c.reverts.named("records in force never go back"),
		c.inForce.named("a change is in force everywhere in time"),
		{"accepted work was done", r.Accepted, r.Lost},
	}
}

func (p *Property) count(violated bool) {
	p.Checks++
	if violated {
		p.Violations++
	}
}

func (p Property) named(name string) Property {
	p.Name = name
	return p
}
