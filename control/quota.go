package control

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipgap/cowslipgap/allotment"
	"github.com/cowslipgap/cowslipgap/placement"
	"github.com/cowslipgap/cowslipgap/platform"
)

// quotaEvery is the pause between two moves of a team's allotment by this host.
const quotaEvery = 300 * time.Millisecond

// quota is this host's part of a team's upper limit.
type quota struct {
	row      allotment.Row
	revision uint64
	part     int // what this host may use now, never above its part in the table
	inFlight bool
	unsure   bool // a write's outcome is unknown; wait for the row
	next     time.Time
}

func (s *State) quota(team string) *quota {
	q := s.quotas[team]
	if q == nil {
		q = &quota{}
		s.quotas[team] = q
	}
	return q
}

func (s *State) takeAllotments(ev AllotmentRows) {
	for _, row := range ev.Rows {
		team := strings.TrimPrefix(row.Key, allotment.Prefix)
		q := s.quota(team)
		if row.Revision <= q.revision {
			continue
		}
		var r allotment.Row
		if !row.Deleted && json.Unmarshal(row.Value, &r) != nil {
			continue
		}
		s.setAllotment(q, r, row.Revision)
	}
	s.pushTeams()
}

// setAllotment takes a row as it stands in the table.
func (s *State) setAllotment(q *quota, r allotment.Row, revision uint64) {
	q.row, q.revision, q.unsure = r, revision, false
	if !q.inFlight {
		q.part = r.Parts[s.Session]
	}
}

// tendQuotas moves allotments towards what this host needs.
func (s *State) tendQuotas() {
	if s.beat.fence == 0 || s.holder.Fenced() {
		return
	}
	changed := false
	for team, p := range s.cat.Teams() {
		if !p.Capped {
			continue
		}
		q := s.quota(team)
		if q.inFlight || q.unsure || s.now.Before(q.next) {
			continue
		}
		changed = s.moveQuota(team, q, p.Limit, p.LimitRevision) || changed
	}
	if changed {
		s.pushTeams()
	}
}

// moveQuota proposes a new row. A part that shrinks takes force before the row
// is written, one that grows after.
func (s *State) moveQuota(team string, q *quota, limit int, record uint64) bool {
	row := q.row
	if record > row.Record {
		row.Limit, row.Record = limit, record
	}
	row = s.dropEnded(row)
	running, waiting := s.core.Demand(team)
	next, changed := row.Settle(allotment.Need{Session: s.Session, Running: running, Want: running + waiting})
	if !changed && row.Record == q.row.Record && len(row.Parts) == len(q.row.Parts) && len(row.Asks) == len(q.row.Asks) {
		return false
	}
	q.inFlight, q.next = true, s.now.Add(quotaEvery)
	q.part = min(q.row.Parts[s.Session], next.Target(s.Session), next.Parts[s.Session])
	s.emit(WriteAllotment{Team: team, Row: next, Revision: q.revision})
	return true
}

// dropEnded takes the parts of sessions back that have ended for so long that
// their tasks have ended too.
func (s *State) dropEnded(row allotment.Row) allotment.Row {
	for _, session := range row.Sessions() {
		m := s.members[session]
		if m == nil || m.session.State != sessionClaimed {
			continue
		}
		if ended, ok := s.endedAt[session]; ok && s.now.Sub(ended) > s.lapseAfterSilence() {
			row = row.Drop(session)
		}
	}
	return row
}

func (s *State) allotmentDone(ev AllotmentDone) {
	q := s.quota(ev.Team)
	q.inFlight = false
	switch {
	case ev.Err == nil:
		if ev.Revision > q.revision {
			s.setAllotment(q, ev.Row, ev.Revision)
		} else {
			q.part = q.row.Parts[s.Session]
		}
	case errors.Is(ev.Err, platform.ErrUnavailable), errors.Is(ev.Err, platform.ErrConflict):
		q.part = q.row.Parts[s.Session]
	default:
		q.unsure = true // part stays the lesser of old and new
	}
	s.pushTeams()
}

// pushTeams tells the placement core the shares and limits in force.
func (s *State) pushTeams() {
	ev := placement.Teams{Policies: map[string]placement.TeamPolicy{}}
	for team, p := range s.cat.Teams() {
		tp := placement.TeamPolicy{Weight: p.Weight}
		if p.Capped {
			q := s.quota(team)
			tp.Capped = true
			tp.Limit = min(q.part, q.row.Target(s.Session), p.Limit)
		}
		ev.Policies[team] = tp
	}
	s.step(ev)
}
