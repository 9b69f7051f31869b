package cellhost

import (
	"context"
	"sync"
	"time"

	"github.com/cowslipgap/cowslipgap/batch"
	"github.com/cowslipgap/cowslipgap/cell"
)

// This file is the relay's side of the relays: it carries out the owner's commands.

// maxClockAge is the age of a reading of the owner's clock above which a relay asks for
// another one. Within this time the two clocks drift apart by less than the margin of
// a lease.
const maxClockAge = 3 * time.Second

// ownerClock translates the clock of an owner to that of this host.
type ownerClock struct {
	session string
	// offset is this host's time at which a reading was requested, less that reading. So
	// an instant of the owner's clock is translated to a time at which the owner's clock
	// has not passed it.
	offset time.Duration
	readAt cell.Instant
}

// carrier is the state of a host as a relay. The zero value is ready to use.
type carrier struct {
	mu      sync.Mutex
	results map[string]*batch.Queue[relayResult] // outcomes by session of the owner
}

// carry carries out the commands of a batch. It does not wait for them.
func (h *Host) carry(ctx context.Context, b *relayBatch) {
	if b == nil {
		return
	}
	results := h.carrier.resultQueue(ctx, h, b.Session, b.Addr)
	go func() {
		offset, known := h.ownerOffset(ctx, b)
		startBefore := cell.Instant(0)
		if known {
			startBefore = b.StartBefore + offset
		}
		for i := range b.Commands {
			command := &b.Commands[i]
			cmd, ok := command.decode(b)
			if !ok {
				results.Add(relayResult{ID: command.ID, Failure: cell.Invalid})
				continue
			}
			cmd = translate(cmd, offset, known)
			go func() { results.Add(encodeOutcome(command, h.command(ctx, cmd, startBefore))) }()
		}
	}()
}

// translate sets the time until which the command relies on the ownership by this
// host's clock. If the owner's clock is unknown, the ownership counts as expired.
func translate(cmd any, offset time.Duration, known bool) any {
	local := func(c cell.Command) cell.Command {
		c.NotAfter += offset
		if !known {
			c.NotAfter = 0
		}
		return c
	}
	switch c := cmd.(type) {
	case cell.Start:
		c.Command = local(c.Command)
		return c
	case cell.Poll:
		c.Command = local(c.Command)
		return c
	default:
		return cmd // stops need no permission
	}
}

// ownerOffset returns the offset of the owner's clock. If the last reading is old, it
// sends a heartbeat to the owner for another one.
func (h *Host) ownerOffset(ctx context.Context, b *relayBatch) (time.Duration, bool) {
	for attempt := range 2 {
		h.ownership.mu.Lock()
		clock := h.ownership.clock
		h.ownership.mu.Unlock()
		if clock.session == b.Session && h.Now()-clock.readAt < maxClockAge {
			return clock.offset, true
		}
		if attempt == 0 {
			h.sendHeartbeat(ctx, HeadRow{Head: Head{Session: b.Session, Addr: b.Addr}}, heartbeatTimeout)
		}
	}
	return 0, false
}

// resultQueue returns the queue of outcomes for the owner with the given session.
func (c *carrier) resultQueue(ctx context.Context, h *Host, session, addr string) *batch.Queue[relayResult] {
	c.mu.Lock()
	defer c.mu.Unlock()
	if q := c.results[session]; q != nil {
		return q
	}
	q := &batch.Queue[relayResult]{Interval: relayInterval, MaxSize: maxBatchBytes, Size: relayResult.size, Send: func(results []relayResult) {
		_, err := h.callPeer(ctx, addr, request{Kind: kindRelayResults, Session: session, Results: results}, relayTimeout)
		if err != nil {
			h.Log.Debug("outcomes of relayed commands are lost", "owner", addr, "outcomes", len(results), "error", err)
		}
	}}
	if c.results == nil {
		c.results = map[string]*batch.Queue[relayResult]{}
	}
	c.results[session] = q
	return q
}
