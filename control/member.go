package control

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipgap/cowslipgap/lease"
	"github.com/cowslipgap/cowslipgap/placement"
	"github.com/cowslipgap/cowslipgap/storage"
)

// States of a session.
const (
	sessionLive    = "live"
	sessionLeft    = "left"
	sessionClaimed = "claimed"
)

// claimDelay is the delay between the start of a host and its first claims of
// racks without an owner, so that hosts that start together know each other. The
// zone row is not written earlier either.
const claimDelay = 1500 * time.Millisecond

// SessionRow is the table row of a session. It changes only when the session
// ends, so that other writes can be made on condition of its revision.
type SessionRow struct {
	Name     string `json:"name"`
	PeerAddr string `json:"peerAddr"`
	HTTPAddr string `json:"httpAddr"`
	State    string `json:"state"`
	Holder   string `json:"holder,omitempty"`   // session that took this one over
	Absorbed bool   `json:"absorbed,omitempty"` // the jobs are in the snapshot of Holder
}

// HeartbeatRow is the heartbeat row of a session.
type HeartbeatRow struct {
	Name      string `json:"name"`
	PeerAddr  string `json:"peerAddr"`
	HTTPAddr  string `json:"httpAddr"`
	Successor string `json:"successor,omitempty"`
	Records   uint64 `json:"records"` // revision of the records in effect
	Leaving   bool   `json:"leaving,omitempty"`
	Count     uint64 `json:"beat"` // incremented with each heartbeat, so that no two rows are equal
	// LeaseMillis is the duration of the authority that this heartbeat gives.
	LeaseMillis int64 `json:"leaseMillis"`
}

// RackRow names the owner of a rack.
type RackRow struct {
	Owner string `json:"owner"` // session
}

// ZoneRow describes an availability zone to the hosts of other zones. The first
// live session of the zone maintains it.
type ZoneRow struct {
	Hosts   int     `json:"hosts"`
	Entries []Entry `json:"entries"` // up to maxZoneEntries hosts of the zone
}

// Entry is a host of another availability zone.
type Entry struct {
	Session  string `json:"session"`
	PeerAddr string `json:"peerAddr"`
}

// ZoneRowPrefix is the key prefix of the rows that describe the zones.
const ZoneRowPrefix = "shared/zone/"

const (
	maxZoneEntries = 3
	// heartbeatWriteShare is the share of the write budget for heartbeats.
	heartbeatWriteShare = 0.5
	// heartbeatsPerLease is the minimum length of a lease in heartbeat intervals.
	heartbeatsPerLease = 5
)

// member is a session of this availability zone.
type member struct {
	sessionRow        SessionRow
	heartbeatRow      HeartbeatRow
	sessionRevision   uint64 // revision of the session row
	heartbeatRevision uint64 // revision of the heartbeat row, 0 if there is none
}

type zoneState struct {
	row      ZoneRow
	revision uint64
}

type rackState struct {
	owner    string
	revision uint64
}

// heartbeatState holds what this host knows of its own rows.
type heartbeatState struct {
	sentAt          time.Time
	inFlight        bool
	count           uint64
	leaseInFlight   time.Duration // duration of the lease that the heartbeat in flight gives
	revision        uint64
	sessionRevision uint64
}

// ZonePrefix returns the key prefix of an availability zone's rows.
func ZonePrefix(zone string) string { return "zone/" + zone + "/" }

// SessionKey returns the key of a session row.
func SessionKey(zone, session string) string { return ZonePrefix(zone) + "session/" + session }

// HeartbeatKey returns the key of a heartbeat row.
func HeartbeatKey(zone, session string) string { return ZonePrefix(zone) + "beat/" + session }

// RackKey returns the key of a rack row.
func RackKey(zone, rack string) string { return ZonePrefix(zone) + "rack/" + rack }

// applyZoneRows applies changed rows of this availability zone.
func (s *State) applyZoneRows(ev ZoneRows) {
	for _, row := range ev.Rows {
		kind, name, ok := strings.Cut(strings.TrimPrefix(row.Key, ZonePrefix(s.Zone)), "/")
		if !ok {
			continue
		}
		switch kind {
		case "session":
			s.applySessionRow(name, row)
		case "beat":
			s.applyHeartbeatRow(name, row)
		case "rack":
			var r RackRow
			if !row.Deleted && json.Unmarshal(row.Value, &r) != nil {
				continue
			}
			if old := s.racks[name]; row.Revision > old.revision {
				s.racks[name] = rackState{r.Owner, row.Revision}
			}
		}
	}
	s.pushWorkers()
}

func (s *State) ensureMember(session string) *member {
	m := s.members[session]
	if m == nil {
		m = &member{}
		s.members[session] = m
	}
	return m
}

func (s *State) applySessionRow(session string, row storage.Row) {
	if row.Deleted {
		delete(s.members, session)
		s.lease.Forget(session)
		return
	}
	var r SessionRow
	if json.Unmarshal(row.Value, &r) != nil {
		return
	}
	m := s.ensureMember(session)
	m.sessionRow, m.sessionRevision = r, row.Revision
	if session == s.Session && r.State != sessionLive && s.heartbeat.sessionRevision != 0 && !s.draining {
		s.lease.Fence()
	}
	if r.State == sessionClaimed {
		if _, ok := s.takenOverAt[session]; !ok {
			s.takenOverAt[session] = s.now
		}
		s.lease.Forget(session)
		if r.Holder == s.Session && !r.Absorbed {
			s.adopt(session)
		}
	}
}

func (s *State) applyHeartbeatRow(session string, row storage.Row) {
	if row.Deleted {
		if m := s.members[session]; m != nil {
			m.heartbeatRevision = 0
		}
		return
	}
	m := s.ensureMember(session)
	if row.Revision <= m.heartbeatRevision {
		return
	}
	var heartbeat HeartbeatRow
	if json.Unmarshal(row.Value, &heartbeat) != nil {
		return
	}
	m.heartbeatRow, m.heartbeatRevision = heartbeat, row.Revision
	if session != s.Session {
		s.lease.Observe(s.now, lease.Row{Session: session, Addr: heartbeat.PeerAddr, Heartbeat: row.Revision, Successor: heartbeat.Successor,
			Lease: time.Duration(heartbeat.LeaseMillis) * time.Millisecond})
	}
}

// liveSessions returns the sessions of this zone that send heartbeats, sorted.
// The session of this host is always among them.
func (s *State) liveSessions() []string {
	list := []string{s.Session}
	for session, m := range s.members {
		if session != s.Session && m.sessionRow.State == sessionLive && m.heartbeatRevision > 0 && !m.heartbeatRow.Leaving && !s.lease.Lapsed(s.now, session) {
			list = append(list, session)
		}
	}
	slices.Sort(list)
	return list
}

// successor returns the live session after this one in ring order, or "" if
// there is no other.
func (s *State) successor() string {
	list := s.liveSessions()
	if len(list) < 2 {
		return ""
	}
	i := slices.Index(list, s.Session)
	return list[(i+1)%len(list)]
}

// entryHostCount returns the number of known entry hosts in all zones.
func (s *State) entryHostCount() int {
	count := len(s.liveSessions())
	for zone, z := range s.zones {
		if zone != s.Zone {
			count += z.row.Hosts
		}
	}
	return count
}

// heartbeatInterval returns the time between two heartbeats. It is longer where
// many hosts share the write budget of the table.
func (s *State) heartbeatInterval() time.Duration {
	return max(s.Heartbeat, s.writeInterval(heartbeatWriteShare))
}

// JournalInterval returns the minimum time between two journal segments.
func (s *State) JournalInterval() time.Duration { return s.writeInterval(1 - heartbeatWriteShare) }

// writeInterval returns the time between two writes of this host if all entry
// hosts together use the given share of the write budget.
func (s *State) writeInterval(share float64) time.Duration {
	return time.Duration(float64(s.entryHostCount()) / (share * float64(max(1, s.WritesPerSecond))) * float64(time.Second))
}

// applyZoneList applies changed rows that describe the zones.
func (s *State) applyZoneList(ev ZoneList) {
	for _, row := range ev.Rows {
		zone := strings.TrimPrefix(row.Key, ZoneRowPrefix)
		var r ZoneRow
		if old := s.zones[zone]; row.Revision <= old.revision || row.Deleted || json.Unmarshal(row.Value, &r) != nil {
			continue
		}
		s.zones[zone] = zoneState{r, row.Revision}
	}
}

// updateZoneRow writes the row of this zone if it is out of date and this host is
// the first live one of the zone.
func (s *State) updateZoneRow() {
	live := s.liveSessions()
	if live[0] != s.Session || s.zoneWriteInFlight || s.now.Sub(s.started) < claimDelay {
		return
	}
	row := ZoneRow{Hosts: len(live)}
	for _, session := range live[:min(len(live), maxZoneEntries)] {
		addr := s.PeerAddr
		if session != s.Session {
			addr = s.members[session].heartbeatRow.PeerAddr
		}
		row.Entries = append(row.Entries, Entry{session, addr})
	}
	old := s.zones[s.Zone]
	if old.row.Hosts == row.Hosts && slices.Equal(old.row.Entries, row.Entries) {
		return
	}
	s.zoneWriteInFlight = true
	s.emit(WriteZone{Row: row, Revision: old.revision})
}

func (s *State) zoneDone(ev ZoneDone) {
	s.zoneWriteInFlight = false
	if ev.Err == nil && ev.Revision > s.zones[s.Zone].revision {
		s.zones[s.Zone] = zoneState{ev.Row, ev.Revision}
	}
}

// maintainMembership sends heartbeats and claims racks and sessions that need an
// owner.
func (s *State) maintainMembership() {
	if s.lease.Fenced() || s.released {
		return
	}
	if !s.heartbeat.inFlight && s.now.Sub(s.heartbeat.sentAt) >= s.heartbeatInterval() {
		s.sendHeartbeat()
	}
	if s.heartbeat.sessionRevision == 0 || s.draining {
		return
	}
	s.claimSessions()
	s.claimRacks()
	s.updateZoneRow()
}

func (s *State) sendHeartbeat() {
	successor := s.successor()
	s.heartbeat.inFlight = true
	s.heartbeat.count++
	s.heartbeat.sentAt = s.now
	s.lease.SendHeartbeat(successor)
	leaseDuration := max(s.Rules.Lease, heartbeatsPerLease*s.heartbeatInterval())
	s.heartbeat.leaseInFlight = leaseDuration
	s.emit(WriteHeartbeat{
		Row: HeartbeatRow{
			Name: s.Name, PeerAddr: s.PeerAddr, HTTPAddr: s.HTTPAddr, Successor: successor,
			Records: s.catalog.Revision, Leaving: s.draining, Count: s.heartbeat.count,
			LeaseMillis: leaseDuration.Milliseconds(),
		},
		Revision: s.heartbeat.revision,
		Fence:    s.heartbeat.sessionRevision,
		Session:  SessionRow{Name: s.Name, PeerAddr: s.PeerAddr, HTTPAddr: s.HTTPAddr, State: sessionLive},
	})
}

func (s *State) heartbeatDone(ev HeartbeatDone) {
	s.heartbeat.inFlight = false
	switch {
	case ev.Fenced:
		s.lease.Fence()
	case ev.Err == nil:
		s.lease.AckHeartbeat(ev.Sent, ev.Successor, s.heartbeat.leaseInFlight)
		s.heartbeat.revision = ev.Revision
		if ev.Fence != 0 {
			s.heartbeat.sessionRevision = ev.Fence
		}
	}
	s.updateCore(placement.Authority{Until: s.lease.AuthorityEnd()})
}

// claimSessions takes over sessions that have left or whose heartbeat has lapsed.
func (s *State) claimSessions() {
	for session, m := range s.members {
		if session == s.Session || s.claims[session] || m.sessionRevision == 0 {
			continue
		}
		left := m.sessionRow.State == sessionLeft
		lapsed := m.sessionRow.State == sessionLive && m.heartbeatRevision > 0 && s.lease.MayClaim(s.now, session)
		if left && s.isSuccessorOf(session) || lapsed {
			s.claimSession(session, m)
		}
	}
}

// isSuccessorOf reports whether this host is the live session that follows the
// given one in ring order. That host takes over a session that has left.
func (s *State) isSuccessorOf(session string) bool {
	for _, other := range s.liveSessions() {
		if other > session {
			return other == s.Session
		}
	}
	return s.liveSessions()[0] == s.Session
}

func (s *State) claimSession(session string, m *member) {
	s.claims[session] = true
	s.lease.Claim(session)
	c := Claim{Session: session, Row: m.sessionRow, Checks: []storage.Check{
		{Key: SessionKey(s.Zone, s.Session), Revision: s.heartbeat.sessionRevision},
		{Key: SessionKey(s.Zone, session), Revision: m.sessionRevision},
		{Key: HeartbeatKey(s.Zone, session), Revision: m.heartbeatRevision},
	}}
	c.Row.State, c.Row.Holder = sessionClaimed, s.Session
	for rack, r := range s.racks {
		if r.owner == session {
			c.Racks = append(c.Racks, rack)
			c.Checks = append(c.Checks, storage.Check{Key: RackKey(s.Zone, rack), Revision: r.revision})
		}
	}
	slices.Sort(c.Racks)
	s.emit(c)
}

// claimRacks claims racks without an owner, up to an even share for this host.
func (s *State) claimRacks() {
	if s.now.Sub(s.started) < claimDelay {
		return
	}
	names := map[string]bool{}
	for _, w := range s.listedWorkers {
		names[w.Rack] = true
	}
	owned := 0
	for rack := range names {
		if s.racks[rack].owner == s.Session || s.claims["rack/"+rack] {
			owned++
		}
	}
	live := len(s.liveSessions())
	evenShare := (len(names) + live - 1) / live
	for _, rack := range s.rotateRacks(names) {
		if owned >= evenShare {
			return
		}
		if s.racks[rack].owner != "" || s.claims["rack/"+rack] {
			continue
		}
		s.claims["rack/"+rack] = true
		owned++
		s.emit(Claim{Racks: []string{rack}, Checks: []storage.Check{
			{Key: SessionKey(s.Zone, s.Session), Revision: s.heartbeat.sessionRevision},
			{Key: RackKey(s.Zone, rack), Revision: s.racks[rack].revision},
		}})
	}
}

// rotateRacks sorts the racks and starts each host at a different one, so that
// hosts that start together seldom claim the same rack.
func (s *State) rotateRacks(names map[string]bool) []string {
	list := make([]string, 0, len(names))
	for rack := range names {
		list = append(list, rack)
	}
	slices.Sort(list)
	if len(list) == 0 {
		return list
	}
	start := slices.Index(s.liveSessions(), s.Session) % len(list)
	return append(list[start:], list[:start]...)
}

func (s *State) claimDone(ev ClaimDone) {
	c := ev.Claim
	if c.Session != "" {
		delete(s.claims, c.Session)
	}
	for _, rack := range c.Racks {
		delete(s.claims, "rack/"+rack)
	}
	if ev.Err == nil {
		for _, rack := range c.Racks {
			s.racks[rack] = rackState{s.Session, ev.Revision}
		}
		s.pushWorkers()
		return // the other rows arrive with the next read of the zone
	}
	if c.Session == "" {
		return
	}
	if errors.Is(ev.Err, storage.ErrConflict) || errors.Is(ev.Err, storage.ErrUnavailable) {
		s.lease.Unclaim(c.Session)
	}
	// If the outcome is unknown, the claim stays until the row shows it.
}

// setWorkers sets the platform's list of workers.
func (s *State) setWorkers(ev Workers) {
	s.listedWorkers = ev.List
	s.pushWorkers()
}

// pushWorkers passes the workers that this host owns to the placement core.
func (s *State) pushWorkers() {
	var owned []storage.Worker
	for _, w := range s.listedWorkers {
		if s.racks[w.Rack].owner != s.Session {
			continue
		}
		if s.catalog.Drained(w.Name) {
			w.State = storage.StateLeaving
		}
		owned = append(owned, w)
	}
	s.updateCore(placement.Workers{List: owned})
}

// release gives up the authority of this host and marks its session as left, at
// the end of a graceful shutdown.
func (s *State) release() {
	s.lease.Release()
	s.released = true
	s.updateCore(placement.Authority{})
	if s.heartbeat.sessionRevision == 0 {
		return
	}
	row := SessionRow{Name: s.Name, PeerAddr: s.PeerAddr, HTTPAddr: s.HTTPAddr, State: sessionLeft}
	s.emit(WriteSessionRow{Session: s.Session, Row: row, Revision: s.heartbeat.sessionRevision})
}
