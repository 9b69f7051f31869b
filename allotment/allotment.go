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
	Limit  int            `json:"limit"`
	Record uint64         `json:"record"`          // revision of the limit's record
	Parts  map[string]int `json:"parts,omitempty"` // tasks, by session
	Asks   map[string]int `json:"asks,omitempty"`  // tasks wanted beyond the part, by session
}

// Need is what one host runs and wants of a team.
type Need struct {
	Session string
	Running int // tasks; the part never falls below it
	Want    int // tasks running and waiting
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

// Target returns how many tasks a session should run: its part, or less while
// the parts exceed a limit that was lowered.
func (r Row) Target(session string) int {
	part, sum := r.Parts[session], r.Sum()
	if sum <= r.Limit {
		return part
	}
	return part * r.Limit / sum
}

// Settle returns the row as the host would have it, and whether it differs.
func (r Row) Settle(n Need) (Row, bool) {
	next := Row{Limit: r.Limit, Record: r.Record, Parts: maps.Clone(r.Parts), Asks: maps.Clone(r.Asks)}
	if next.Parts == nil {
		next.Parts = map[string]int{}
	}
	if next.Asks == nil {
		next.Asks = map[string]int{}
	}
	mine := next.Parts[n.Session]
	mine = next.giveBack(mine, n)
	mine = next.take(mine, n)
	set(next.Parts, n.Session, mine)
	set(next.Asks, n.Session, max(0, n.Want-mine))
	return next, !maps.Equal(next.Parts, r.Parts) || !maps.Equal(next.Asks, r.Asks)
}

// giveBack lowers the host's part to what it uses where the limit was lowered,
// and towards an even division where others ask.
func (r Row) giveBack(mine int, n Need) int {
	others := r.Sum() - r.Parts[n.Session]
	least := max(n.Running, 0)
	if excess := mine + others - r.Limit; excess > 0 {
		mine = max(min(mine, least), mine-excess)
	}
	asked := 0
	for session, ask := range r.Asks {
		if session != n.Session {
			asked += ask
		}
	}
	if asked == 0 {
		return mine
	}
	even := r.Limit / max(1, len(r.claimants(n.Session)))
	keep := max(least, min(mine, max(even, 0)), 0)
	if n.Want < keep {
		keep = max(least, n.Want)
	}
	return max(min(mine, keep), mine-asked)
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
// it takes no more than an even division.
func (r Row) take(mine int, n Need) int {
	if n.Want <= mine {
		return mine
	}
	if n.BreakSum {
		return min(n.Want, r.Limit)
	}
	left := r.Limit - (r.Sum() - r.Parts[n.Session]) - mine
	if left <= 0 {
		return mine
	}
	extra := min(n.Want-mine, left)
	asking := 1
	for session := range r.Asks {
		if session != n.Session {
			asking++
		}
	}
	if asking > 1 {
		extra = min(extra, (left+asking-1)/asking)
	}
	return mine + extra
}

// Drop returns the row without a session that is at its end and whose tasks
// have all ended.
func (r Row) Drop(session string) Row {
	next := Row{Limit: r.Limit, Record: r.Record, Parts: maps.Clone(r.Parts), Asks: maps.Clone(r.Asks)}
	delete(next.Parts, session)
	delete(next.Asks, session)
	return next
}

// Sessions returns every session named in the row, in order.
func (r Row) Sessions() []string { return slices.Sorted(maps.Keys(r.claimants(""))) }

func set(m map[string]int, name string, n int) {
	if n > 0 {
		m[name] = n
	} else {
		delete(m, name)
	}
}
