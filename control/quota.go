package control

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipgap/cowslipgap/allotment"
	"github.com/cowslipgap/cowslipgap/placement"
	"github.com/cowslipgap/cowslipgap/storage"
)

const (
	// quotaEvery is the pause between two moves of a team's allotment by this host.
	quotaEvery = 300 * time.Millisecond
	// softAfter is for how long a part may be used that is more than even.
	softAfter = time.Second
)

// quota is this host's part of a team's upper limit.
type quota struct {
	row      allotment.Row
	revision uint64
	part     int // what this host may use now, never above its part in the table
	inFlight bool
	unsure   bool // a write's outcome is unknown; wait for the row
	next     time.Time
	since    time.Time // when the part was last raised from nothing
}

func (s *State) quota(team string) *quota {
	q := s.quotas[team]
	if q == nil {
		q = &quota{}
		s.quotas[team] = q
	}
	return q
}

// soft returns how many tasks to start up to, so that others that ask get their
// even part as tasks end. A part that was just taken may be used for softAfter.
func (q *quota) soft(session string, now time.Time) int {
	if now.Sub(q.since) < softAfter {
		return q.part
	}
	return q.row.Fair(session)
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
	if q.row.Parts[s.Session] == 0 && r.Parts[s.Session] > 0 {
		q.since = s.now
	}
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
	if changed || s.now.Sub(s.pushed) >= softAfter {
		s.pushed = s.now
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
	d := s.core.Demand(team)
	need := allotment.Need{Session: s.Session, Running: d.Running, Want: d.Running + d.Waiting, Block: d.Gang}
	if d.LooksUp && row.Limit >= 2*s.fleetHosts() {
		need.Floor = 1
	}
	next, _ := row.Settle(need)
	if next.Equal(q.row) {
		return false
	}
	q.inFlight, q.next = true, s.now.Add(quotaEvery)
	q.part = min(q.row.Parts[s.Session], next.Parts[s.Session])
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
	case errors.Is(ev.Err, storage.ErrConflict) && ev.Revision > q.revision:
		s.setAllotment(q, ev.Row, ev.Revision)
	case errors.Is(ev.Err, storage.ErrUnavailable), errors.Is(ev.Err, storage.ErrConflict):
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
			tp.Hard = min(q.part, q.row.Target(s.Session), p.Limit)
			tp.Limit = min(tp.Hard, q.soft(s.Session, s.now))
		}
		ev.Policies[team] = tp
	}
	s.step(ev)
}
