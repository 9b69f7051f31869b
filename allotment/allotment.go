// Package allotment enforces a team's upper limit across all entry hosts by
// escrow. The table has one row per team that divides the limit among the hosts.
// Each host runs at most as many of the team's tasks as its part allows, so the
// limit holds under any network partition. Parts move by conditional writes of the
// row: a host takes from the unassigned rest, asks for more when nothing is left,
// and gives back what it does not use when others ask.
//
// # Usage
//
//	row, changed := allotment.Row{Limit: 40}.Adjust(allotment.Need{
//		Session: "a1-x7", Running: 3, Want: 9,
//	})
//	if changed {
//		// Write the row on condition of the revision that was read.
//	}
package allotment

import (
	"maps"
	"slices"
)

// Row is the table row of a team.
type Row struct {
	Limit    int             `json:"limit"`
	Record   uint64          `json:"record"`          // revision of the record that sets the limit
	Parts    map[string]int  `json:"parts,omitempty"` // tasks that each session may run
	Requests map[string]bool `json:"asks,omitempty"`  // sessions that want more than their part
	// Block is the session that currently collects a large part for a gang.
	Block     string `json:"block,omitempty"`
	BlockSize int    `json:"blockSize,omitempty"` // number of tasks of the gang
}

// Need is what one host runs and wants to run for a team.
type Need struct {
	Session string
	Running int // running tasks; the part never falls below this
	Want    int // running and waiting tasks
	Floor   int // minimum part, even if no task waits
	Block   int // tasks of a gang that needs a larger part to start, 0 if none
	// BreakSum makes the host take its part without regard to the other parts. It
	// exists so that tests can show that they detect this fault.
	BreakSum bool
}

// Key returns the table key of a team's row.
func Key(team string) string { return Prefix + team }

// Prefix is the key prefix of the allotment rows.
const Prefix = "shared/allotment/"

// Sum returns how many tasks all parts together allow.
func (r Row) Sum() int {
	sum := 0
	for _, n := range r.Parts {
		sum += n
	}
	return sum
}

// Target returns how many tasks a session should run. This is its part, unless the
// limit was lowered below the sum of the parts; then it is a proportional share.
func (r Row) Target(session string) int {
	part, sum := r.Parts[session], r.Sum()
	if sum <= r.Limit {
		return part
	}
	return part * r.Limit / sum
}

// FairShare returns how many tasks a session should keep while others ask: an even
// share among the sessions that hold or ask for a part, where a block that is being
// collected comes first. If no other session asks, it is the session's part.
func (r Row) FairShare(session string) int {
	if !r.othersAsk(session) {
		return r.Parts[session]
	}
	claimants := len(r.claimants(session))
	switch r.Block {
	case "":
		return r.Limit / claimants
	case session:
		return max(r.BlockSize, r.Limit/claimants)
	default:
		return (r.Limit - r.BlockSize) / max(1, claimants-1)
	}
}

// Adjust returns the row with the host's part adjusted to its need, and whether it
// differs from r.
func (r Row) Adjust(n Need) (Row, bool) {
	next := r.clone()
	if next.Parts == nil {
		next.Parts = map[string]int{}
	}
	if next.Requests == nil {
		next.Requests = map[string]bool{}
	}
	n.Want = max(n.Want, n.Running, n.Floor)
	next.updateBlock(n)
	part := next.raisePart(next.reducePart(next.Parts[n.Session], n), n)
	if part > 0 {
		next.Parts[n.Session] = part
	} else {
		delete(next.Parts, n.Session)
	}
	if n.Want > part || n.Block > part {
		next.Requests[n.Session] = true
	} else {
		delete(next.Requests, n.Session)
	}
	return next, !next.Equal(r)
}

// Equal reports whether two rows are equal.
func (r Row) Equal(o Row) bool {
	return r.Limit == o.Limit && r.Record == o.Record && r.Block == o.Block && r.BlockSize == o.BlockSize &&
		maps.Equal(r.Parts, o.Parts) && maps.Equal(r.Requests, o.Requests)
}

func (r Row) clone() Row {
	r.Parts, r.Requests = maps.Clone(r.Parts), maps.Clone(r.Requests)
	return r
}

// updateBlock lets the host collect a block if no other session does, and ends the
// collection once the gang has started.
func (r *Row) updateBlock(n Need) {
	switch {
	case r.Block == n.Session:
		r.BlockSize = min(n.Block, r.Limit)
		if n.Block == 0 {
			r.Block = ""
		}
	case r.Block == "" && n.Block > 0 && n.Block <= r.Limit:
		r.Block, r.BlockSize = n.Session, n.Block
	}
}

// blockReserve returns how many tasks another session still has to collect for its
// block.
func (r Row) blockReserve(self string) int {
	if r.Block == "" || r.Block == self {
		return 0
	}
	return max(0, r.BlockSize-r.Parts[r.Block])
}

// reducePart lowers the host's part if the limit was lowered, and towards an even
// share if others ask. The part never falls below the running tasks.
func (r Row) reducePart(part int, n Need) int {
	if excess := r.Sum() - r.Limit; excess > 0 {
		part = max(min(part, n.Running), part-excess)
	}
	if !r.othersAsk(n.Session) {
		return part
	}
	return min(part, max(n.Running, min(n.Want, r.FairShare(n.Session))))
}

func (r Row) othersAsk(self string) bool {
	for session := range r.Requests {
		if session != self {
			return true
		}
	}
	return false
}

// claimants returns the sessions that hold or ask for a part, and the host itself.
func (r Row) claimants(self string) map[string]bool {
	all := map[string]bool{self: true}
	for s := range r.Parts {
		all[s] = true
	}
	for s := range r.Requests {
		all[s] = true
	}
	return all
}

// raisePart raises the host's part from the unassigned rest. If others ask as well,
// the host takes at most an even share, or one task if the share is less than one.
func (r Row) raisePart(part int, n Need) int {
	if n.Want <= part && n.Block <= part {
		return part
	}
	n.Want = max(n.Want, n.Block)
	if n.BreakSum {
		return min(n.Want, r.Limit)
	}
	unassigned := r.Limit - (r.Sum() - r.Parts[n.Session]) - part - r.blockReserve(n.Session)
	if unassigned <= 0 {
		return part
	}
	target := n.Want
	if r.othersAsk(n.Session) {
		target = max(part, min(target, max(r.FairShare(n.Session), 1)))
	}
	return part + min(target-part, unassigned)
}

// RemoveSession returns the row without a session that has ended and whose tasks have
// all ended.
func (r Row) RemoveSession(session string) Row {
	next := r.clone()
	delete(next.Parts, session)
	delete(next.Requests, session)
	if next.Block == session {
		next.Block, next.BlockSize = "", 0
	}
	return next
}

// Sessions returns all sessions named in the row, sorted.
func (r Row) Sessions() []string { return slices.Sorted(maps.Keys(r.claimants(""))) }
