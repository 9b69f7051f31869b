// Package lease decides until when an entry host has authority as the owner of its
// racks, and when a peer (another entry host of the same availability zone) may
// take them over. It is a pure state machine: it reads no clock and sends nothing.
//
// A host has authority while the table renews its heartbeat. Its heartbeat row
// names one successor. If the table is unreachable, the host keeps its authority
// while that successor repeatedly promises not to claim its racks. No other peer
// may claim them, with two exceptions: a process that has the host's own address,
// because the old process is then gone, and, after SoloLimit, any peer. The host
// never keeps its authority for longer than SoloLimit without the table.
// docs/DESIGN.md has the proof.
//
// # Usage
//
//	h := lease.Holder{Self: "a1-x7", Addr: "127.0.0.1:9001", Rules: rules}
//	h.SendHeartbeat("a2-p3")                       // before the row is written
//	h.AckHeartbeat(sentAt, "a2-p3", 5*time.Second) // after the table accepted it
//	if now.Before(h.AuthorityEnd()) { ... }        // this host has authority
//	if h.MayClaim(now, "a2-p3") { ... }            // it may take over that peer's racks
package lease

import "time"

// Rules are the durations that all hosts of an availability zone have in common.
type Rules struct {
	Lease     time.Duration // duration of the authority that a promise gives
	Margin    time.Duration // maximum drift between two clocks over a lease
	SoloLimit time.Duration // maximum duration of authority without the table

	// BreakPromises makes a host ignore the promises it gave, BreakLapse makes
	// it claim without waiting, and BreakNaming lets any peer claim. They exist
	// so that tests can show that the checks detect a broken rule.
	BreakPromises, BreakLapse, BreakNaming bool
}

// Row is a peer's heartbeat row as it stands in the table.
type Row struct {
	Session   string
	Addr      string
	Heartbeat uint64        // changes with each heartbeat
	Successor string        // empty if there is none
	Lease     time.Duration // duration of the authority that the heartbeat gives
}

// Holder is the lease state of one session.
type Holder struct {
	Self string // session of this host
	Addr string
	Rules

	ackedSentAt   time.Time              // when the last accepted heartbeat was sent
	ackedLease    time.Duration          // duration of the authority that it gives
	successors    map[string]bool        // sessions that the row in the table may name as successor
	promisedUntil map[string]time.Time   // when the promise that a successor gave this host ends
	grantedUntil  map[string]time.Time   // when the promise that this host gave a peer ends
	claiming      map[string]bool        // peers whose racks this host is claiming or has claimed
	observed      map[string]observation // last known rows, by session
	fenced        bool
	released      bool
}

// observation is a peer's row and the time when its present version was first read.
type observation struct {
	row       Row
	firstSeen time.Time
}

// SendHeartbeat records that a row that names the successor may reach the table
// from now on.
func (h *Holder) SendHeartbeat(successor string) {
	if h.successors == nil {
		h.successors = map[string]bool{}
	}
	if successor != "" {
		h.successors[successor] = true
	}
}

// AckHeartbeat records that the table accepted the heartbeat that was sent at
// sentAt. The lease is the duration of the authority that the heartbeat gives.
func (h *Holder) AckHeartbeat(sentAt time.Time, successor string, lease time.Duration) {
	if !sentAt.After(h.ackedSentAt) {
		return
	}
	h.ackedSentAt, h.ackedLease = sentAt, lease
	h.successors = map[string]bool{}
	if successor != "" {
		h.successors[successor] = true
	}
}

// AckPromise records a promise that was requested at sentAt.
func (h *Holder) AckPromise(from string, sentAt time.Time) {
	if h.promisedUntil == nil {
		h.promisedUntil = map[string]time.Time{}
	}
	if until := sentAt.Add(h.Lease); until.After(h.promisedUntil[from]) {
		h.promisedUntil[from] = until
	}
}

// MarkGone records that the process of a session has certainly ended, because another
// session answers at its address. The ended session cannot claim any more.
func (h *Holder) MarkGone(session string) { delete(h.successors, session) }

// Fence records that a peer has taken over this session, which ends it.
func (h *Holder) Fence() { h.fenced = true }

// Fenced reports whether a peer has taken over this session.
func (h *Holder) Fenced() bool { return h.fenced }

// Release gives up authority permanently, as the last step of a shutdown.
func (h *Holder) Release() { h.released = true }

// Successors returns the sessions whose promises extend this host's authority.
func (h *Holder) Successors() []string {
	list := make([]string, 0, len(h.successors))
	for s := range h.successors {
		list = append(list, s)
	}
	return list
}

// AuthorityEnd returns the time at which this host's authority ends.
func (h *Holder) AuthorityEnd() time.Time {
	if h.fenced || h.released || h.ackedSentAt.IsZero() {
		return time.Time{}
	}
	tableUntil := h.ackedSentAt.Add(h.ackedLease)
	soloUntil := h.ackedSentAt.Add(h.SoloLimit)
	promiseUntil := soloUntil
	for s := range h.successors {
		if until := h.promisedUntil[s]; until.Before(promiseUntil) {
			promiseUntil = until
		}
	}
	if promiseUntil.After(tableUntil) {
		return promiseUntil
	}
	return tableUntil
}

// Observe records a peer's row that was read from the table at now.
func (h *Holder) Observe(now time.Time, row Row) {
	if h.observed == nil {
		h.observed = map[string]observation{}
	}
	if old, ok := h.observed[row.Session]; ok && old.row.Heartbeat == row.Heartbeat {
		return
	}
	h.observed[row.Session] = observation{row, now}
}

// Forget removes a peer whose session has ended.
func (h *Holder) Forget(session string) {
	delete(h.observed, session)
	delete(h.claiming, session)
	delete(h.grantedUntil, session)
}

// Grant reports whether this host gives a peer the promise that it asks for, and
// records the promise if so.
func (h *Holder) Grant(now time.Time, asker string) bool {
	if h.claiming[asker] || h.fenced || h.released {
		return false
	}
	if h.grantedUntil == nil {
		h.grantedUntil = map[string]time.Time{}
	}
	h.grantedUntil[asker] = now.Add(h.Lease + h.Margin)
	return true
}

// Lapsed reports whether a peer's heartbeat has not changed for the duration of its
// lease, or of this host's if that is longer, plus Margin.
func (h *Holder) Lapsed(now time.Time, session string) bool {
	s, ok := h.observed[session]
	return ok && now.Sub(s.firstSeen) >= max(s.row.Lease, h.Lease)+h.Margin
}

// MayClaim reports whether this host may take over a peer's racks, provided that
// the row in the table is still the one last seen.
func (h *Holder) MayClaim(now time.Time, session string) bool {
	s, ok := h.observed[session]
	if !ok || h.fenced || h.released || session == h.Self {
		return false
	}
	if !h.BreakLapse && !h.Lapsed(now, session) {
		return false
	}
	if !h.BreakPromises && now.Before(h.grantedUntil[session]) {
		return false
	}
	return h.BreakNaming || s.row.Successor == h.Self || s.row.Addr == h.Addr ||
		now.Sub(s.firstSeen) >= h.SoloLimit+h.Margin
}

// Claim records that this host is about to claim a peer's racks. From now on it
// gives that peer no promise.
func (h *Holder) Claim(session string) {
	if h.claiming == nil {
		h.claiming = map[string]bool{}
	}
	h.claiming[session] = true
}

// Unclaim records that a claim certainly had no effect.
func (h *Holder) Unclaim(session string) { delete(h.claiming, session) }

// HeartbeatNumber returns the heartbeat number of a peer's last known row. A claim
// of the peer's racks is valid only while the table still has that row.
func (h *Holder) HeartbeatNumber(session string) uint64 { return h.observed[session].row.Heartbeat }
