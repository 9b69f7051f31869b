// Package allotment keeps a team's upper limit across the fleet by escrow. The
// table has one row a team that divides the limit among the entry hosts; each
// host runs no more of the team's tasks than its part, so that the limit holds
// under any partition. Parts move by conditional writes of the row: a host takes
// from what nobody holds, asks for more when nothing is left, and gives back
// what it does not use when others ask.
//
// # Usage
//
//	row, changed := allotment.Row{Limit: 40}.Settle(allotment.Need{
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

// Row is what the table holds for a team.
type Row struct {
	Limit  int             `json:"limit"`
	Record uint64          `json:"record"`          // revision of the limit's record
	Parts  map[string]int  `json:"parts,omitempty"` // tasks, by session
	Asks   map[string]bool `json:"asks,omitempty"`  // sessions that want more than their part
	// Block is the session whose turn it is to gather a large part for a gang.
	Block     string `json:"block,omitempty"`
	BlockSize int    `json:"blockSize,omitempty"` // tasks of the gang
}

// Need is what one host runs and wants of a team.
type Need struct {
	Session string
	Running int // tasks; the part never falls below it
	Want    int // tasks running and waiting
	Floor   int // tasks to keep a part for although nothing waits
	Block   int // tasks of a gang that needs a larger part to start, 0 if none
	// BreakSum makes the host take its part without looking at the others. It
	// exists so that tests can show that the check finds a broken rule.
	BreakSum bool
}

// Key is the place in the table of a team's row.
func Key(team string) string { return Prefix + team }

// Prefix is the part of the table that holds allotments.
const Prefix = "shared/allotment/"

// Sum returns how many tasks all parts together allow.
func (r Row) Sum() int {
	sum := 0
	for _, n := range r.Parts {
		sum += n
	}
	return sum
}

// Target returns how many tasks a session should run. It is its part, unless
// the parts exceed a limit that was lowered.
func (r Row) Target(session string) int {
	part, sum := r.Parts[session], r.Sum()
	if sum <= r.Limit {
		return part
	}
	return part * r.Limit / sum
}

// Fair returns how many tasks a session should hold on to while others ask: an
// even division among those that hold or ask for something, where a block that
// is being gathered comes first. Without asks it is the session's part.
func (r Row) Fair(session string) int {
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

// Settle returns the row as the host would have it, and whether it differs.
func (r Row) Settle(n Need) (Row, bool) {
	next := r.clone()
	if next.Parts == nil {
		next.Parts = map[string]int{}
	}
	if next.Asks == nil {
		next.Asks = map[string]bool{}
	}
	n.Want = max(n.Want, n.Running, n.Floor)
	next.settleBlock(n)
	mine := next.take(next.giveBack(next.Parts[n.Session], n), n)
	if mine > 0 {
		next.Parts[n.Session] = mine
	} else {
		delete(next.Parts, n.Session)
	}
	if n.Want > mine || n.Block > mine {
		next.Asks[n.Session] = true
	} else {
		delete(next.Asks, n.Session)
	}
	return next, !next.Equal(r)
}

// Equal reports whether two rows are the same.
func (r Row) Equal(o Row) bool {
	return r.Limit == o.Limit && r.Record == o.Record && r.Block == o.Block && r.BlockSize == o.BlockSize &&
		maps.Equal(r.Parts, o.Parts) && maps.Equal(r.Asks, o.Asks)
}

func (r Row) clone() Row {
	r.Parts, r.Asks = maps.Clone(r.Parts), maps.Clone(r.Asks)
	return r
}

// settleBlock takes the turn to gather a block when it is free, and passes it
// on when the gang has started.
func (r *Row) settleBlock(n Need) {
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

// blockMissing returns how much of a block another session has yet to gather.
func (r Row) blockMissing(self string) int {
	if r.Block == "" || r.Block == self {
		return 0
	}
	return max(0, r.BlockSize-r.Parts[r.Block])
}

// giveBack lowers the host's part where the limit was lowered, and towards an
// even division where others ask. It never falls below what runs.
func (r Row) giveBack(mine int, n Need) int {
	if excess := r.Sum() - r.Limit; excess > 0 {
		mine = max(min(mine, n.Running), mine-excess)
	}
	if !r.othersAsk(n.Session) {
		return mine
	}
	return min(mine, max(n.Running, min(n.Want, r.Fair(n.Session))))
}

func (r Row) othersAsk(self string) bool {
	for session := range r.Asks {
		if session != self {
			return true
		}
	}
	return false
}

// claimants are the sessions that hold or ask for something, and the host.
func (r Row) claimants(self string) map[string]bool {
	all := map[string]bool{self: true}
	for s := range r.Parts {
		all[s] = true
	}
	for s := range r.Asks {
		all[s] = true
	}
	return all
}

// take raises the host's part from what nobody holds. When others ask as well
// it takes no more than an even division, or one if that is less than one.
func (r Row) take(mine int, n Need) int {
	if n.Want <= mine && n.Block <= mine {
		return mine
	}
	n.Want = max(n.Want, n.Block)
	if n.BreakSum {
		return min(n.Want, r.Limit)
	}
	left := r.Limit - (r.Sum() - r.Parts[n.Session]) - mine - r.blockMissing(n.Session)
	if left <= 0 {
		return mine
	}
	most := n.Want
	if r.othersAsk(n.Session) {
		most = max(mine, min(most, max(r.Fair(n.Session), 1)))
	}
	return mine + min(most-mine, left)
}

// Drop returns the row without a session that is at its end and whose tasks
// have all ended.
func (r Row) Drop(session string) Row {
	next := r.clone()
	delete(next.Parts, session)
	delete(next.Asks, session)
	if next.Block == session {
		next.Block, next.BlockSize = "", 0
	}
	return next
}

// Sessions returns every session named in the row, in order.
func (r Row) Sessions() []string { return slices.Sorted(maps.Keys(r.claimants(""))) }
