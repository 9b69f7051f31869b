// Package ruleset holds one version of the operators' configuration in the form
// that an entry host uses: the queue that a call belongs to, the team that a key
// belongs to, and the share and limits of each team.
//
// # Usage
//
//	queue := rules.MatchQueue(host, path)
//	team, ok := rules.Team(key)
package ruleset

import (
	"strings"
	"time"

	"github.com/cowslipgap/cowslipgap/cell"
	"github.com/cowslipgap/cowslipgap/evacuation"
	"github.com/cowslipgap/cowslipgap/workload"
)

// Rules is one version of the configuration. It is immutable once an entry host
// uses it.
type Rules struct {
	Version int64
	Queues  []Queue
	Teams   map[string]cell.Team
	Keys    map[string]string // name of the team by key
	Limits  Limits
	// Evacuated holds the zones that operators request to send no work to. It may change
	// while Version stays the same.
	Evacuated evacuation.Orders
}

// Limits are the operators' limits on requests; 0: none.
type Limits struct {
	MaxHeadBytes int64
	MaxBodyBytes int64
	HeadTimeout  time.Duration // from the first byte of a request to the end of its head
	IdleTimeout  time.Duration // between two requests of a connection
}

// Queue is one queue and the calls that belong to it.
type Queue struct {
	workload.Queue
	Host      string
	Prefix    string // of the call's path
	Anonymous bool   // calls without a key are accepted
}

// MatchQueue returns the queue of the host whose prefix is the longest that matches the
// path, and the rest of the path after the prefix. It returns nil if no queue
// matches.
func (r *Rules) MatchQueue(host, path string) (*Queue, string) {
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

// Team returns the name of the team that a key belongs to.
func (r *Rules) Team(key string) (string, bool) {
	team, ok := r.Keys[key]
	return team, ok
}

// Policy returns the policy for placement.
func (r *Rules) Policy() cell.Policy {
	return cell.Policy{Teams: r.Teams, Evacuated: r.Evacuated}
}
