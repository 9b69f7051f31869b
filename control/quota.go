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
	// quotaWriteInterval is the minimum time between two writes of a team's
	// allotment by this host.
	quotaWriteInterval = 300 * time.Millisecond
	// softLimitDelay is how long a newly acquired part may be used in full, even
	// if it exceeds the even share. The limits are passed to the placement core at
	// least this often, so that the soft limit takes effect afterwards.
	softLimitDelay = time.Second
)

// quota is this host's part of the upper limit of a team.
type quota struct {
	row            allotment.Row
	revision       uint64
	usablePart     int // tasks that this host may run now, at most its part in the table
	inFlight       bool
	outcomeUnknown bool // the outcome of a write is unknown; wait for the row
	nextWrite      time.Time
	acquiredAt     time.Time // when the part was last raised from zero
}

func (s *State) ensureQuota(team string) *quota {
	q := s.quotas[team]
	if q == nil {
		q = &quota{}
		s.quotas[team] = q
	}
	return q
}

// softLimit returns the number of running tasks at which no new task starts. While
// other hosts ask for a part, it is the even share of this host, so that they get
// theirs as tasks end. A newly acquired part may be used in full for
// softLimitDelay.
func (q *quota) softLimit(session string, now time.Time) int {
	if now.Sub(q.acquiredAt) < softLimitDelay {
		return q.usablePart
	}
	return q.row.FairShare(session)
}

func (s *State) applyAllotmentRows(ev AllotmentRows) {
	for _, row := range ev.Rows {
		team := strings.TrimPrefix(row.Key, allotment.Prefix)
		q := s.ensureQuota(team)
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

// setAllotment sets a team's row to the one in the table.
func (s *State) setAllotment(q *quota, r allotment.Row, revision uint64) {
	if q.row.Parts[s.Session] == 0 && r.Parts[s.Session] > 0 {
		q.acquiredAt = s.now
	}
	q.row, q.revision, q.outcomeUnknown = r, revision, false
	if !q.inFlight {
		q.usablePart = r.Parts[s.Session]
	}
}

// updateQuotas adjusts the allotments to what this host needs.
func (s *State) updateQuotas() {
	if s.heartbeat.sessionRevision == 0 || s.lease.Fenced() {
		return
	}
	changed := false
	for team, p := range s.catalog.Teams() {
		if !p.Capped {
			continue
		}
		q := s.ensureQuota(team)
		if q.inFlight || q.outcomeUnknown || s.now.Before(q.nextWrite) {
			continue
		}
		changed = s.proposeAllotment(team, q, p.Limit, p.LimitRevision) || changed
	}
	if changed || s.now.Sub(s.teamsPushedAt) >= softLimitDelay {
		s.teamsPushedAt = s.now
		s.pushTeams()
	}
}

// proposeAllotment writes a new row if it differs, and reports whether it does. A
// part that shrinks takes effect before the row is written, a part that grows
// takes effect afterwards.
func (s *State) proposeAllotment(team string, q *quota, limit int, limitRevision uint64) bool {
	row := q.row
	if limitRevision > row.Record {
		row.Limit, row.Record = limit, limitRevision
	}
	row = s.dropEndedSessions(row)
	d := s.core.Demand(team)
	need := allotment.Need{Session: s.Session, Running: d.Running, Want: d.Running + d.Waiting, Block: d.NextGangSize}
	if d.SendsLookups && row.Limit >= 2*s.entryHostCount() {
		need.Floor = 1
	}
	next, _ := row.Adjust(need)
	if next.Equal(q.row) {
		return false
	}
	q.inFlight, q.nextWrite = true, s.now.Add(quotaWriteInterval)
	q.usablePart = min(q.row.Parts[s.Session], next.Parts[s.Session])
	s.emit(WriteAllotment{Team: team, Row: next, Revision: q.revision})
	return true
}

// dropEndedSessions removes the parts of sessions that were taken over so long ago
// that their tasks have ended.
func (s *State) dropEndedSessions(row allotment.Row) allotment.Row {
	for _, session := range row.Sessions() {
		m := s.members[session]
		if m == nil || m.sessionRow.State != sessionClaimed {
			continue
		}
		if ended, ok := s.takenOverAt[session]; ok && s.now.Sub(ended) > s.forwardLapseTime() {
			row = row.RemoveSession(session)
		}
	}
	return row
}

func (s *State) allotmentDone(ev AllotmentDone) {
	q := s.ensureQuota(ev.Team)
	q.inFlight = false
	switch {
	case ev.Err == nil:
		if ev.Revision > q.revision {
			s.setAllotment(q, ev.Row, ev.Revision)
		} else {
			q.usablePart = q.row.Parts[s.Session]
		}
	case errors.Is(ev.Err, storage.ErrConflict) && ev.Revision > q.revision:
		s.setAllotment(q, ev.Row, ev.Revision)
	case errors.Is(ev.Err, storage.ErrUnavailable), errors.Is(ev.Err, storage.ErrConflict):
		q.usablePart = q.row.Parts[s.Session]
	default:
		q.outcomeUnknown = true // usablePart stays the smaller of the old and the new part
	}
	s.pushTeams()
}

// pushTeams passes the weights and limits in effect to the placement core.
func (s *State) pushTeams() {
	ev := placement.Teams{Policies: map[string]placement.TeamPolicy{}}
	for team, p := range s.catalog.Teams() {
		tp := placement.TeamPolicy{Weight: p.Weight}
		if p.Capped {
			q := s.ensureQuota(team)
			tp.Capped = true
			tp.HardLimit = min(q.usablePart, q.row.Target(s.Session), p.Limit)
			tp.Limit = min(tp.HardLimit, q.softLimit(s.Session, s.now))
		}
		ev.Policies[team] = tp
	}
	s.updateCore(ev)
}
