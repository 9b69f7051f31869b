// Package ruleset is one version of the operators' configuration as an entry
// host uses it: which queue a call belongs to, which team a key belongs to, and
// what each team may do.
//
// # Usage
//
//	queue := rules.Find(host, path)
//	team, ok := rules.Team(key)
package ruleset

import (
	"strings"

	"github.com/cowslipgap/cowslipgap/cell"
	"github.com/cowslipgap/cowslipgap/docket"
)

// Rules is one version of the configuration. It never changes once it is in
// force.
type Rules struct {
	Version int64
	Queues  []Queue
	Teams   map[string]cell.Team
	Keys    map[string]string // team by key
}

// Queue is one queue and the calls that belong to it.
type Queue struct {
	docket.Queue
	Host      string
	Prefix    string // of the path
	Anonymous bool   // calls need no key
}

// Find returns the queue with the longest prefix of the path, and what follows
// the prefix. It returns nil if no queue has one.
func (r *Rules) Find(host, path string) (*Queue, string) {
	var best *Queue
	for i := range r.Queues {
		q := &r.Queues[i]
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, path[len(best.Prefix):]
}

// Team returns the team that a key belongs to.
func (r *Rules) Team(key string) (string, bool) {
	team, ok := r.Keys[key]
	return team, ok
}

// Policy returns what governs placement.
func (r *Rules) Policy() cell.Policy {
	return cell.Policy{Teams: r.Teams}
}
