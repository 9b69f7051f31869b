// Package lease decides until when an entry host may act as the owner of its
// racks, and when a sibling may take them over. It is a pure state machine: it
// reads no clock and sends nothing.
//
// A host has authority while the table renews its heartbeat. Its heartbeat row
// names one successor. With the table out of reach, the host may carry on while
// that successor promises, again and again, not to claim its racks. Nobody else
// may claim them, but for a process that holds the host's own address (the old
// process is then gone) and, after SoloLimit, everyone; the host never carries
// on for longer than that without the table. docs/DESIGN.md has the proof.
//
// # Usage
//
//	h := lease.Holder{Self: "a1-x7", Addr: "127.0.0.1:9001", Rules: rules}
//	h.SendHeartbeat("a2-p3")              // before the row is written
//	h.AckHeartbeat(sentAt, "a2-p3", 5*time.Second) // after the table said yes
//	if now.Before(h.Until()) { ... }      // this host may act
//	if h.MayClaim(now, "a2-p3") { ... }   // it may take over that host's racks
package lease

import "time"

// Rules are the durations that all hosts of an availability zone share.
type Rules struct {
	Lease     time.Duration // authority that a promise gives
	Margin    time.Duration // by which clocks may drift apart over a lease
	SoloLimit time.Duration // longest authority without the table

	// BreakPromises makes a host forget what it promised, BreakLapse makes it
	// claim without waiting, and BreakNaming lets any sibling claim. They exist
	// so that tests can show that the checks find a broken rule.
	BreakPromises, BreakLapse, BreakNaming bool
}

// Row is a sibling's heartbeat as it stands in the table.
type Row struct {
	Session   string
	Addr      string
	Beat      uint64        // changes with each heartbeat
	Successor string        // empty if there is none
	Lease     time.Duration // authority that the heartbeat gives
}

// Holder is the state of one host's session.
type Holder struct {
	Self string // session
	Addr string
	Rules

	acked    time.Time            // when the last accepted heartbeat was sent
	given    time.Duration        // authority that it gives
	named    map[string]bool      // successors that the row in the table may name
	promised map[string]time.Time // until when a successor promised to us
	granted  map[string]time.Time // until when we promised to a sibling
	claiming map[string]bool      // siblings whose racks we claim or have claimed
	seen     map[string]sighting
	fenced   bool
	released bool
}

// sighting is a sibling's row and when it was first read as it is.
type sighting struct {
	row   Row
	since time.Time
}

// SendHeartbeat notes that a row naming the successor may reach the table from
// now on.
func (h *Holder) SendHeartbeat(successor string) {
	if h.named == nil {
		h.named = map[string]bool{}
	}
	if successor != "" {
		h.named[successor] = true
	}
}

// AckHeartbeat notes that the table took the heartbeat that was sent at sentAt
// and whose row says the lease.
func (h *Holder) AckHeartbeat(sentAt time.Time, successor string, lease time.Duration) {
	if !sentAt.After(h.acked) {
		return
	}
	h.acked, h.given = sentAt, lease
	h.named = map[string]bool{}
	if successor != "" {
		h.named[successor] = true
	}
}

// AckPromise notes a promise that was asked for at sentAt.
func (h *Holder) AckPromise(from string, sentAt time.Time) {
	if h.promised == nil {
		h.promised = map[string]time.Time{}
	}
	if until := sentAt.Add(h.Lease); until.After(h.promised[from]) {
		h.promised[from] = until
	}
}

// Gone notes that a session's process has certainly ended: another session
// answers at its address. It can claim no more.
func (h *Holder) Gone(session string) { delete(h.named, session) }

// Fence notes that a sibling has taken over; the session is at its end.
func (h *Holder) Fence() { h.fenced = true }

// Fenced reports whether the session is at its end.
func (h *Holder) Fenced() bool { return h.fenced }

// Release gives up authority for good, as the last act before leaving.
func (h *Holder) Release() { h.released = true }

// Successors returns the sessions whose promises carry this host on.
func (h *Holder) Successors() []string {
	list := make([]string, 0, len(h.named))
	for s := range h.named {
		list = append(list, s)
	}
	return list
}

// Until returns the end of this host's authority.
func (h *Holder) Until() time.Time {
	if h.fenced || h.released || h.acked.IsZero() {
		return time.Time{}
	}
	byTable := h.acked.Add(h.given)
	solo := h.acked.Add(h.SoloLimit)
	byPromise := solo
	for s := range h.named {
		if until := h.promised[s]; until.Before(byPromise) {
			byPromise = until
		}
	}
	if byPromise.After(byTable) {
		return byPromise
	}
	return byTable
}

// See notes a sibling's row as read from the table at now.
func (h *Holder) See(now time.Time, row Row) {
	if h.seen == nil {
		h.seen = map[string]sighting{}
	}
	if old, ok := h.seen[row.Session]; ok && old.row.Beat == row.Beat {
		return
	}
	h.seen[row.Session] = sighting{row, now}
}

// Forget drops a sibling whose session is at its end.
func (h *Holder) Forget(session string) {
	delete(h.seen, session)
	delete(h.claiming, session)
	delete(h.granted, session)
}

// Grant answers a sibling that asks for a promise.
func (h *Holder) Grant(now time.Time, asker string) bool {
	if h.claiming[asker] || h.fenced || h.released {
		return false
	}
	if h.granted == nil {
		h.granted = map[string]time.Time{}
	}
	h.granted[asker] = now.Add(h.Lease + h.Margin)
	return true
}

// Lapsed reports whether a sibling's heartbeat has stood still for a lease.
func (h *Holder) Lapsed(now time.Time, session string) bool {
	s, ok := h.seen[session]
	return ok && now.Sub(s.since) >= max(s.row.Lease, h.Lease)+h.Margin
}

// MayClaim reports whether this host may take over a sibling's racks, if the
// row in the table is still the one it has seen.
func (h *Holder) MayClaim(now time.Time, session string) bool {
	s, ok := h.seen[session]
	if !ok || h.fenced || h.released || session == h.Self {
		return false
	}
	if !h.BreakLapse && !h.Lapsed(now, session) {
		return false
	}
	if !h.BreakPromises && now.Before(h.granted[session]) {
		return false
	}
	return h.BreakNaming || s.row.Successor == h.Self || s.row.Addr == h.Addr ||
		now.Sub(s.since) >= h.SoloLimit+h.Margin
}

// Claim notes that this host is about to claim a sibling's racks. It grants the
// sibling no promise from now on.
func (h *Holder) Claim(session string) {
	if h.claiming == nil {
		h.claiming = map[string]bool{}
	}
	h.claiming[session] = true
}

// Unclaim notes that the claim certainly did not take effect.
func (h *Holder) Unclaim(session string) { delete(h.claiming, session) }

// Beat returns the heartbeat number under which a claim of the sibling is valid.
func (h *Holder) Beat(session string) uint64 { return h.seen[session].row.Beat }
