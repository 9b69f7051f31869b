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

// settleTime is how long a host waits after its start before it claims racks
// that nobody owns, so that siblings that start with it are known.
const settleTime = 1500 * time.Millisecond

// SessionRow is the row of the table that stands for a session. It changes only
// when the session ends, so that writes can be made on condition of it.
type SessionRow struct {
	Name     string `json:"name"`
	PeerAddr string `json:"peerAddr"`
	HTTPAddr string `json:"httpAddr"`
	State    string `json:"state"`
	Holder   string `json:"holder,omitempty"`   // the session that took it over
	Absorbed bool   `json:"absorbed,omitempty"` // its jobs are in the holder's snapshot
}

// BeatRow is a session's heartbeat.
type BeatRow struct {
	Name      string `json:"name"`
	PeerAddr  string `json:"peerAddr"`
	HTTPAddr  string `json:"httpAddr"`
	Successor string `json:"successor,omitempty"`
	Records   uint64 `json:"records"` // revision of the records in force
	Leaving   bool   `json:"leaving,omitempty"`
	Beat      uint64 `json:"beat"` // counts up, so that no two rows are alike
	// LeaseMillis is the authority that this heartbeat gives.
	LeaseMillis int64 `json:"leaseMillis"`
}

// RackRow says who owns a rack.
type RackRow struct {
	Owner string `json:"owner"` // session
}

// ZoneRow tells hosts of other zones about an availability zone. The first live
// session of the zone keeps it.
type ZoneRow struct {
	Hosts   int     `json:"hosts"`
	Entries []Entry `json:"entries"` // up to maxEntries of its hosts
}

// Entry is a host of another availability zone.
type Entry struct {
	Session  string `json:"session"`
	PeerAddr string `json:"peerAddr"`
}

// ZoneRowPrefix is the part of the table that holds the rows of all zones.
const ZoneRowPrefix = "shared/zone/"

const (
	maxEntries = 3
	// beatShare is the part of the fleet's budget of writes that heartbeats take.
	beatShare = 0.5
	// beatsPerLease is how many heartbeats a lease is long.
	beatsPerLease = 5
)

// member is a session of this availability zone.
type member struct {
	session SessionRow
	beat    BeatRow
	fence   uint64 // revision of the session row
	beatRev uint64 // revision of the heartbeat row, 0 if there is none
}

type zoneState struct {
	row      ZoneRow
	revision uint64
}

type rackState struct {
	owner    string
	revision uint64
}

// beatState is what is known of this host's own rows.
type beatState struct {
	sent     time.Time
	inFlight bool
	count    uint64
	lease    time.Duration // that the heartbeat in flight gives
	revision uint64
	fence    uint64
}

// ZonePrefix is the part of the table that holds an availability zone's rows.
func ZonePrefix(zone string) string { return "zone/" + zone + "/" }

// SessionKey is the place of a session's row.
func SessionKey(zone, session string) string { return ZonePrefix(zone) + "session/" + session }

// BeatKey is the place of a session's heartbeat.
func BeatKey(zone, session string) string { return ZonePrefix(zone) + "beat/" + session }

// RackKey is the place of a rack's row.
func RackKey(zone, rack string) string { return ZonePrefix(zone) + "rack/" + rack }

// takeZoneRows takes in what changed in this availability zone.
func (s *State) takeZoneRows(ev ZoneRows) {
	for _, row := range ev.Rows {
		kind, name, ok := strings.Cut(strings.TrimPrefix(row.Key, ZonePrefix(s.Zone)), "/")
		if !ok {
			continue
		}
		switch kind {
		case "session":
			s.takeSession(name, row)
		case "beat":
			s.takeBeat(name, row)
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

func (s *State) member(session string) *member {
	m := s.members[session]
	if m == nil {
		m = &member{}
		s.members[session] = m
	}
	return m
}

func (s *State) takeSession(session string, row storage.Row) {
	if row.Deleted {
		delete(s.members, session)
		s.holder.Forget(session)
		return
	}
	var r SessionRow
	if json.Unmarshal(row.Value, &r) != nil {
		return
	}
	m := s.member(session)
	m.session, m.fence = r, row.Revision
	if session == s.Session && r.State != sessionLive && s.beat.fence != 0 && !s.draining {
		s.holder.Fence()
	}
	if r.State == sessionClaimed {
		if _, ok := s.endedAt[session]; !ok {
			s.endedAt[session] = s.now
		}
		s.holder.Forget(session)
		if r.Holder == s.Session && !r.Absorbed {
			s.adopt(session)
		}
	}
}

func (s *State) takeBeat(session string, row storage.Row) {
	if row.Deleted {
		if m := s.members[session]; m != nil {
			m.beatRev = 0
		}
		return
	}
	m := s.member(session)
	if row.Revision <= m.beatRev {
		return
	}
	var b BeatRow
	if json.Unmarshal(row.Value, &b) != nil {
		return
	}
	m.beat, m.beatRev = b, row.Revision
	if session != s.Session {
		s.holder.See(s.now, lease.Row{Session: session, Addr: b.PeerAddr, Beat: row.Revision, Successor: b.Successor,
			Lease: time.Duration(b.LeaseMillis) * time.Millisecond})
	}
}

// live returns the sessions of this zone that beat, this one among them, in order.
func (s *State) live() []string {
	list := []string{s.Session}
	for session, m := range s.members {
		if session != s.Session && m.session.State == sessionLive && m.beatRev > 0 && !m.beat.Leaving && !s.holder.Lapsed(s.now, session) {
			list = append(list, session)
		}
	}
	slices.Sort(list)
	return list
}

// successor returns the next live session in ring order, or "".
func (s *State) successor() string {
	list := s.live()
	if len(list) < 2 {
		return ""
	}
	i := slices.Index(list, s.Session)
	return list[(i+1)%len(list)]
}

// fleetHosts returns the number of entry hosts in all zones, as far as known.
func (s *State) fleetHosts() int {
	count := len(s.live())
	for zone, z := range s.zones {
		if zone != s.Zone {
			count += z.row.Hosts
		}
	}
	return count
}

// beatInterval stretches the heartbeat where many hosts share the table's budget.
func (s *State) beatInterval() time.Duration {
	return max(s.Heartbeat, s.budgetInterval(beatShare))
}

// JournalInterval returns the least time between two segments of the journal.
func (s *State) JournalInterval() time.Duration { return s.budgetInterval(1 - beatShare) }

func (s *State) budgetInterval(part float64) time.Duration {
	return time.Duration(float64(s.fleetHosts()) / (part * float64(max(1, s.WritesPerSecond))) * float64(time.Second))
}

// takeZones takes the rows that describe all zones.
func (s *State) takeZones(ev ZoneList) {
	for _, row := range ev.Rows {
		zone := strings.TrimPrefix(row.Key, ZoneRowPrefix)
		var r ZoneRow
		if old := s.zones[zone]; row.Revision <= old.revision || row.Deleted || json.Unmarshal(row.Value, &r) != nil {
			continue
		}
		s.zones[zone] = zoneState{r, row.Revision}
	}
}

// tendZone keeps this zone's row, if this host is the first of it.
func (s *State) tendZone() {
	live := s.live()
	if live[0] != s.Session || s.zoneInFlight || s.now.Sub(s.started) < settleTime {
		return
	}
	row := ZoneRow{Hosts: len(live)}
	for _, session := range live[:min(len(live), maxEntries)] {
		addr := s.PeerAddr
		if session != s.Session {
			addr = s.members[session].beat.PeerAddr
		}
		row.Entries = append(row.Entries, Entry{session, addr})
	}
	old := s.zones[s.Zone]
	if old.row.Hosts == row.Hosts && slices.Equal(old.row.Entries, row.Entries) {
		return
	}
	s.zoneInFlight = true
	s.emit(WriteZone{Row: row, Revision: old.revision})
}

func (s *State) zoneDone(ev ZoneDone) {
	s.zoneInFlight = false
	if ev.Err == nil && ev.Revision > s.zones[s.Zone].revision {
		s.zones[s.Zone] = zoneState{ev.Row, ev.Revision}
	}
}

// tendMembers beats and claims.
func (s *State) tendMembers() {
	if s.holder.Fenced() || s.released {
		return
	}
	if !s.beat.inFlight && s.now.Sub(s.beat.sent) >= s.beatInterval() {
		s.sendBeat()
	}
	if s.beat.fence == 0 || s.draining {
		return
	}
	s.claimSessions()
	s.claimRacks()
	s.tendZone()
}

func (s *State) sendBeat() {
	successor := s.successor()
	s.beat.inFlight = true
	s.beat.count++
	s.beat.sent = s.now
	s.holder.SendHeartbeat(successor)
	lease := max(s.Rules.Lease, beatsPerLease*s.beatInterval())
	s.beat.lease = lease
	s.emit(Beat{
		Row: BeatRow{
			Name: s.Name, PeerAddr: s.PeerAddr, HTTPAddr: s.HTTPAddr, Successor: successor,
			Records: s.cat.Revision, Leaving: s.draining, Beat: s.beat.count,
			LeaseMillis: lease.Milliseconds(),
		},
		Revision: s.beat.revision,
		Fence:    s.beat.fence,
		Session:  SessionRow{Name: s.Name, PeerAddr: s.PeerAddr, HTTPAddr: s.HTTPAddr, State: sessionLive},
	})
}

func (s *State) beatDone(ev BeatDone) {
	s.beat.inFlight = false
	switch {
	case ev.Fenced:
		s.holder.Fence()
	case ev.Err == nil:
		s.holder.AckHeartbeat(ev.Sent, ev.Successor, s.beat.lease)
		s.beat.revision = ev.Revision
		if ev.Fence != 0 {
			s.beat.fence = ev.Fence
		}
	}
	s.step(placement.Authority{Until: s.holder.Until()})
}

// claimSessions takes over siblings that are at their end.
func (s *State) claimSessions() {
	for session, m := range s.members {
		if session == s.Session || s.claims[session] || m.fence == 0 {
			continue
		}
		left := m.session.State == sessionLeft
		lapsed := m.session.State == sessionLive && m.beatRev > 0 && s.holder.MayClaim(s.now, session)
		if left && s.heirOf(session) || lapsed {
			s.claimSession(session, m)
		}
	}
}

// heirOf reports whether this host is the one to take over a session that left.
func (s *State) heirOf(session string) bool {
	for _, other := range s.live() {
		if other > session {
			return other == s.Session
		}
	}
	return s.live()[0] == s.Session
}

func (s *State) claimSession(session string, m *member) {
	s.claims[session] = true
	s.holder.Claim(session)
	c := Claim{Session: session, Row: m.session, Checks: []storage.Check{
		{Key: SessionKey(s.Zone, s.Session), Revision: s.beat.fence},
		{Key: SessionKey(s.Zone, session), Revision: m.fence},
		{Key: BeatKey(s.Zone, session), Revision: m.beatRev},
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

// claimRacks takes racks that nobody owns, up to this host's even part.
func (s *State) claimRacks() {
	if s.now.Sub(s.started) < settleTime {
		return
	}
	names := map[string]bool{}
	for _, h := range s.listed {
		names[h.Rack] = true
	}
	owned := 0
	for rack := range names {
		if s.racks[rack].owner == s.Session || s.claims["rack/"+rack] {
			owned++
		}
	}
	live := len(s.live())
	even := (len(names) + live - 1) / live
	for _, rack := range s.orderRacks(names) {
		if owned >= even {
			return
		}
		if s.racks[rack].owner != "" || s.claims["rack/"+rack] {
			continue
		}
		s.claims["rack/"+rack] = true
		owned++
		s.emit(Claim{Racks: []string{rack}, Checks: []storage.Check{
			{Key: SessionKey(s.Zone, s.Session), Revision: s.beat.fence},
			{Key: RackKey(s.Zone, rack), Revision: s.racks[rack].revision},
		}})
	}
}

// orderRacks starts each host at another rack, so that hosts that start
// together seldom claim the same one.
func (s *State) orderRacks(names map[string]bool) []string {
	list := make([]string, 0, len(names))
	for rack := range names {
		list = append(list, rack)
	}
	slices.Sort(list)
	if len(list) == 0 {
		return list
	}
	start := slices.Index(s.live(), s.Session) % len(list)
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
		return // the other rows come with the next reading of the zone
	}
	if c.Session == "" {
		return
	}
	if errors.Is(ev.Err, storage.ErrConflict) || errors.Is(ev.Err, storage.ErrUnavailable) {
		s.holder.Unclaim(c.Session)
	}
	// With the outcome unknown, the claim stands until the row tells.
}

// setHosts takes the platform's list of workers.
func (s *State) setHosts(ev Hosts) {
	s.listed = ev.List
	s.pushWorkers()
}

// pushWorkers tells the placement core which workers this host owns.
func (s *State) pushWorkers() {
	var owned []storage.Host
	for _, h := range s.listed {
		if s.racks[h.Rack].owner != s.Session {
			continue
		}
		if s.cat.Drained(h.Name) {
			h.State = storage.StateLeaving
		}
		owned = append(owned, h)
	}
	s.step(placement.Workers{List: owned})
}

// release gives up everything at the end of a graceful shutdown.
func (s *State) release() {
	s.holder.Release()
	s.released = true
	s.step(placement.Authority{})
	if s.beat.fence == 0 {
		return
	}
	row := SessionRow{Name: s.Name, PeerAddr: s.PeerAddr, HTTPAddr: s.HTTPAddr, State: sessionLeft}
	s.emit(MarkAbsorbed{Session: s.Session, Row: row, Revision: s.beat.fence})
}
