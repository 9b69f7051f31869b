// Package catalog holds the configuration records that are in effect. A Catalog is
// immutable: Apply returns a new one, so that requests can read a Catalog without
// locks while the control goroutine replaces it.
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

// Catalog holds all records as of one revision of the table. The zero Catalog is
// empty.
type Catalog struct {
	// Revision is the table's sequence number up to which all changes are
	// included.
	Revision uint64
	// LastRead is when the table was last read, by this host's clock.
	LastRead time.Time

	records map[string]storedRecord // by row key
	keys    map[string]keyEntry
	queues  map[string]record.Queue
	teams   map[string]Policy
	drained map[string]bool
}

// Policy holds the share and limit of a team, as set by the records.
type Policy struct {
	Weight float64
	Limit  int  // tasks that may run on all workers together
	Capped bool // Limit applies
	// LimitRevision is the revision of the row that holds the limit.
	LimitRevision uint64
}

// storedRecord is a record with the revision of its row.
type storedRecord struct {
	record   record.Record
	revision uint64
}

// keyEntry is a key and whether its record has been withdrawn.
type keyEntry struct {
	key       key.Key
	withdrawn bool
}

// Apply returns a catalog that includes the changed rows. It ignores rows that
// are not newer than the included ones, so that no record reverts to an earlier
// revision.
func (c *Catalog) Apply(rows []storage.Row, revision uint64, now time.Time) *Catalog {
	next := &Catalog{Revision: max(c.Revision, revision), LastRead: now, records: c.records}
	changed := false
	for _, row := range rows {
		old, ok := next.records[row.Key]
		if ok && old.revision >= row.Revision {
			continue
		}
		r, err := record.Decode(row.Value)
		if err != nil || r.RowKey() != row.Key {
			continue // not a record of this software; it is left unchanged in the table
		}
		if !changed {
			next.records = maps.Clone(c.records)
			if next.records == nil {
				next.records = map[string]storedRecord{}
			}
			changed = true
		}
		next.records[row.Key] = storedRecord{r, row.Revision}
	}
	if !changed && c.keys != nil {
		next.keys, next.queues, next.teams, next.drained = c.keys, c.queues, c.teams, c.drained
		return next
	}
	next.buildIndexes()
	return next
}

// buildIndexes builds, from the records in effect, the maps that requests read.
func (c *Catalog) buildIndexes() {
	c.keys = map[string]keyEntry{}
	c.queues = map[string]record.Queue{}
	c.teams = map[string]Policy{}
	c.drained = map[string]bool{}
	for _, stored := range c.recordsInEffect() {
		r := stored.record
		switch r.Kind {
		case record.KindTeam:
			if !r.Withdrawn {
				c.updatePolicy(r.Name, func(*Policy) {})
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
			if w, err := r.Weight(); err == nil && !r.Withdrawn {
				c.updatePolicy(r.Name, func(p *Policy) { p.Weight = w })
			}
		case record.KindLimit:
			if n, err := r.Limit(); err == nil && !r.Withdrawn {
				c.updatePolicy(r.Name, func(p *Policy) { p.Limit, p.Capped, p.LimitRevision = n, true, stored.revision })
			}
		case record.KindHost:
			if h, err := r.Host(); err == nil && !r.Withdrawn {
				c.drained[r.Name] = h.Drain
			}
		}
	}
}

// updatePolicy changes a team's policy and creates it if necessary.
func (c *Catalog) updatePolicy(team string, change func(*Policy)) {
	p := c.teams[team]
	change(&p)
	c.teams[team] = p
}

// recordsInEffect returns one version of each record: the one with the newest
// known schema among those that are not withdrawn, or else among those that are.
func (c *Catalog) recordsInEffect() map[string]storedRecord {
	best := map[string]storedRecord{}
	for _, stored := range c.records {
		r := stored.record
		if !r.Known() {
			continue
		}
		other, ok := best[r.ID()]
		old := other.record
		if !ok || old.Withdrawn && !r.Withdrawn || old.Withdrawn == r.Withdrawn && r.Schema > old.Schema {
			best[r.ID()] = stored
		}
	}
	return best
}

// Authenticate returns the team for which a caller may submit to a queue. If the
// queue is empty, the team of the token's key is returned. Open queues need no
// token.
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

// verify returns the team of the token's key.
func (c *Catalog) verify(token string, now time.Time) (string, *refusal.Refusal) {
	name, secret, err := key.Split(token)
	if err != nil {
		return "", refusal.New(refusal.BadKey, "%v", err)
	}
	e, ok := c.keys[name]
	if !ok || !e.key.Verify(secret) {
		return "", refusal.New(refusal.BadKey, "the key is unknown or its secret is wrong")
	}
	if e.withdrawn {
		return "", refusal.New(refusal.KeyWithdrawn, "key %q has been withdrawn", name)
	}
	if stale := now.Sub(c.LastRead); e.key.MaxStaleMillis > 0 && stale > time.Duration(e.key.MaxStaleMillis)*time.Millisecond {
		return "", refusal.New(refusal.KeyUnconfirmed, "key %q was last confirmed %s ago", name, stale.Round(time.Millisecond)).WithRetryAfter(time.Second)
	}
	return e.key.Team, nil
}

// Teams returns the policy of every team. The caller must not modify the map.
func (c *Catalog) Teams() map[string]Policy { return c.teams }

// Drained reports whether an operator has set the named host to drain.
func (c *Catalog) Drained(host string) bool { return c.drained[host] }

// Records returns all records in all their schemas, in no particular order.
func (c *Catalog) Records() []record.Record {
	list := make([]record.Record, 0, len(c.records))
	for _, stored := range c.records {
		list = append(list, stored.record)
	}
	return list
}
