// Package catalog holds the records in force. A Catalog is immutable: Apply
// returns a new one, so that traffic can read it without locks while the
// control goroutine replaces it.
//
// # Usage
//
//	cat := new(catalog.Catalog)
//	cat = cat.Apply(rows, revision, now)
//	team, r := cat.Authenticate(token, "", now)
package catalog

import (
	"maps"
	"time"

	"github.com/cowslipgap/cowslipgap/key"
	"github.com/cowslipgap/cowslipgap/record"
	"github.com/cowslipgap/cowslipgap/refusal"
	"github.com/cowslipgap/cowslipgap/storage"
)

// Catalog is every record as of a revision of the table. The zero Catalog is
// empty.
type Catalog struct {
	// Revision is the table's sequence number up to which all records are in.
	Revision uint64
	// Confirmed is when the table was last read, by the clock of this host.
	Confirmed time.Time

	records map[string]held // by row key
	keys    map[string]keyEntry
	queues  map[string]record.Queue
	teams   map[string]Policy
	drained map[string]bool
}

// Policy is what the records say of a team.
type Policy struct {
	Weight float64
	Limit  int // tasks running in the whole fleet
	Capped bool
	// LimitRevision is the table's sequence number of the limit's record.
	LimitRevision uint64
}

// held is a record with the revision of its row.
type held struct {
	record   record.Record
	revision uint64
}

type keyEntry struct {
	key       key.Key
	withdrawn bool
}

// Apply returns the catalog with the changed rows taken in. Rows older than
// those already in are passed over, so that nothing goes back.
func (c *Catalog) Apply(rows []storage.Row, revision uint64, now time.Time) *Catalog {
	next := &Catalog{Revision: max(c.Revision, revision), Confirmed: now, records: c.records}
	changed := false
	for _, row := range rows {
		old, ok := next.records[row.Key]
		if ok && old.revision >= row.Revision {
			continue
		}
		r, err := record.Decode(row.Value)
		if err != nil || r.RowKey() != row.Key {
			continue // not a record of this product; it stays as it is in the table
		}
		if !changed {
			next.records = maps.Clone(c.records)
			if next.records == nil {
				next.records = map[string]held{}
			}
			changed = true
		}
		next.records[row.Key] = held{r, row.Revision}
	}
	if !changed && c.keys != nil {
		next.keys, next.queues, next.teams, next.drained = c.keys, c.queues, c.teams, c.drained
		return next
	}
	next.index()
	return next
}

// index rebuilds the maps that traffic reads from the records in force.
func (c *Catalog) index() {
	c.keys = map[string]keyEntry{}
	c.queues = map[string]record.Queue{}
	c.teams = map[string]Policy{}
	c.drained = map[string]bool{}
	for _, h := range c.inForce() {
		r := h.record
		switch r.Kind {
		case record.KindTeam:
			if !r.Withdrawn {
				c.mergePolicy(r.Name, func(*Policy) {})
			}
		case record.KindKey:
			if k, err := r.Key(); err == nil {
				c.keys[r.Name] = keyEntry{k, r.Withdrawn}
			}
		case record.KindQueue:
			if q, err := r.Queue(); err == nil && !r.Withdrawn {
				c.queues[r.Name] = q
			}
		case record.KindShare:
			if w, err := r.Share(); err == nil && !r.Withdrawn {
				c.mergePolicy(r.Name, func(p *Policy) { p.Weight = w })
			}
		case record.KindLimit:
			if n, err := r.Limit(); err == nil && !r.Withdrawn {
				c.mergePolicy(r.Name, func(p *Policy) { p.Limit, p.Capped, p.LimitRevision = n, true, h.revision })
			}
		case record.KindHost:
			if h, err := r.Host(); err == nil && !r.Withdrawn {
				c.drained[r.Name] = h.Drain
			}
		}
	}
}

func (c *Catalog) mergePolicy(team string, change func(*Policy)) {
	p := c.teams[team]
	change(&p)
	c.teams[team] = p
}

// inForce returns, of each record, the version under the newest known schema
// that is not withdrawn, or a withdrawn one if there is no other.
func (c *Catalog) inForce() map[string]held {
	best := map[string]held{}
	for _, h := range c.records {
		r := h.record
		if !r.Known() {
			continue
		}
		other, ok := best[r.ID()]
		old := other.record
		if !ok || old.Withdrawn && !r.Withdrawn || old.Withdrawn == r.Withdrawn && r.Schema > old.Schema {
			best[r.ID()] = h
		}
	}
	return best
}

// Authenticate returns the team for which a caller may submit. A queue that is
// open to everyone needs no token.
func (c *Catalog) Authenticate(token, queue string, now time.Time) (team string, r *refusal.Refusal) {
	q, known := c.queues[queue]
	if queue != "" && !known {
		return "", refusal.New(refusal.NotFound, "queue %q does not exist", queue)
	}
	if known && q.Open {
		return q.Team, nil
	}
	if token == "" {
		return "", refusal.New(refusal.NoKey, `send the key as "Authorization: Bearer name.secret"`)
	}
	team, r = c.verify(token, now)
	if r == nil && known && q.Team != team {
		return "", refusal.New(refusal.Forbidden, "queue %q belongs to another team", queue)
	}
	return team, r
}

func (c *Catalog) verify(token string, now time.Time) (string, *refusal.Refusal) {
	name, secret, err := key.Split(token)
	if err != nil {
		return "", refusal.New(refusal.BadKey, "%v", err)
	}
	e, ok := c.keys[name]
	if !ok || !e.key.Verify(secret) {
		return "", refusal.New(refusal.BadKey, "the key is not known")
	}
	if e.withdrawn {
		return "", refusal.New(refusal.KeyWithdrawn, "key %q has been withdrawn", name)
	}
	if stale := now.Sub(c.Confirmed); e.key.MaxStaleMillis > 0 && stale > time.Duration(e.key.MaxStaleMillis)*time.Millisecond {
		return "", refusal.New(refusal.KeyUnconfirmed, "key %q was last confirmed %s ago", name, stale.Round(time.Millisecond)).After(time.Second)
	}
	return e.key.Team, nil
}

// Teams returns the policy of every team. The caller must not change it.
func (c *Catalog) Teams() map[string]Policy { return c.teams }

// Drained reports whether operators drain the named host.
func (c *Catalog) Drained(host string) bool { return c.drained[host] }

// Records returns every record under every schema, in no order.
func (c *Catalog) Records() []record.Record {
	list := make([]record.Record, 0, len(c.records))
	for _, h := range c.records {
		list = append(list, h.record)
	}
	return list
}
