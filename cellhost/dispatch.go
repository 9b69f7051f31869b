package cellhost

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipgap/cowslipgap/batch"
	"github.com/cowslipgap/cowslipgap/cell"
	"github.com/cowslipgap/cowslipgap/peer"
	"github.com/cowslipgap/cowslipgap/relay"
)

// This file sends the commands of the cell to the workers. An owner that has to serve
// few workers calls them itself. Otherwise relays do it: commands and their outcomes
// travel in batches, and everything else stays as if the owner had made the call. A
// relay has no authority of its own: it withholds starts and leases once the owner's
// last confirmed commit is too old, by the owner's clock.

const (
	// relayInterval is the minimum time between two batches to a relay or to the owner.
	relayInterval = 10 * time.Millisecond
	// maxBatchBytes bounds a batch, as hosts take messages of 4 MB at most.
	maxBatchBytes = 1 << 20
	// relayTimeout bounds the delivery of a batch.
	relayTimeout = 500 * time.Millisecond
	// relayMargin is added to the time that a command may take, for the way through a
	// relay and back.
	relayMargin = 250 * time.Millisecond
	// relayPause is how long a relay that failed gets no commands.
	relayPause = 2 * time.Second
	// directShare is the share of a host's capacity as a relay that an owner uses to
	// call workers itself. The rest of its time goes into decisions.
	directShare = 0.5
	// maxDirectPolls bounds the polls that ask for a report at once and that this host sends
	// itself. A new owner asks every worker, and without a bound these calls would take
	// all its time, so that it could not commit.
	maxDirectPolls = 128
	// expiryInterval is the time between two checks for commands without an outcome.
	expiryInterval = 50 * time.Millisecond
)

// dispatcher is the owner's side of the relays. The zero value relays nothing.
type dispatcher struct {
	mu       sync.Mutex
	plan     relay.Plan
	zones    map[string]string  // zones of the listed workers, by worker
	outboxes map[string]*outbox // by relay
	pending  map[uint64]relayed // commands without an outcome, by ID
	nextID   uint64
	polls    chan struct{} // full while maxDirectPolls are in progress
	checked  cell.Instant  // time of the last check for expired commands
}

// outbox holds the commands to one relay.
type outbox struct {
	queue        *batch.Queue[relayCommand]
	pausedUntil  cell.Instant
	lastResultAt cell.Instant
}

// relayed is a command that a relay carries out.
type relayed struct {
	command  any // cell.Start, cell.Stop or cell.Poll
	relay    string
	sent     cell.Instant
	deadline cell.Instant // when it counts as unanswered
}

// reset forgets the commands of an earlier claim.
func (d *dispatcher) reset(now cell.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.pending)
	d.checked = now
}

// planRelays chooses the relays for the listed workers. An owner that has just claimed
// the cell has got no heartbeats, so it takes all hosts that it knows for present.
func (h *Host) planRelays(workers []cell.WorkerInfo) {
	zones := make(map[string]string, len(workers))
	perZone := map[string]int{}
	for _, w := range workers {
		zones[w.ID] = w.Zone
		perZone[w.Zone]++
	}
	var hosts []relay.Host
	if float64(len(workers)) > directShare*float64(h.info().capacity()) {
		hosts = h.ownership.relayCandidates(h.Name, h.Now())
	}
	plan := relay.New(hosts, perZone)
	d := &h.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	if plan.Relays() != d.plan.Relays() {
		h.Log.Info("relays", "count", plan.Relays(), "workers", len(workers))
	}
	d.plan, d.zones = plan, zones
}

// planRelaysForRoster chooses the relays for a new owner, which asks all workers of the
// roster before it has listed them. Their zones are unknown until then.
func (h *Host) planRelaysForRoster(roster []cell.WorkerRef) {
	workers := make([]cell.WorkerInfo, len(roster))
	for i, ref := range roster {
		workers[i].ID = ref.ID
	}
	h.planRelays(workers)
}

// relayCandidates returns the other hosts that may serve as relays.
func (o *ownership) relayCandidates(self string, now cell.Instant) []relay.Host {
	o.mu.Lock()
	defer o.mu.Unlock()
	newOwner := now-o.claimedAt < memberTimeout
	var hosts []relay.Host
	for name, info := range o.hosts.byName {
		m, present := o.members[name]
		if name != self && (present || newOwner) && !m.passedOver {
			hosts = append(hosts, relay.Host{Name: name, Zone: info.Zone, Capacity: info.capacity()})
		}
	}
	return hosts
}

// dispatch sends a command to a worker, through a relay if the plan has one for it.
func (h *Host) dispatch(ctx context.Context, worker string, cmd any) {
	switch poll, isPoll := cmd.(cell.Poll); {
	case h.sendToRelay(ctx, worker, cmd):
	case isPoll && poll.Wait == 0:
		go h.pollInTurn(ctx, worker, poll, h.Now()+commandTimeout)
	default:
		go h.sendDirect(ctx, cmd, h.Now()+commandTimeout)
	}
}

// pollInTurn sends a poll once fewer than maxDirectPolls are in progress. There may be a
// relay for it by then.
func (h *Host) pollInTurn(ctx context.Context, worker string, poll cell.Poll, before cell.Instant) {
	select {
	case h.dispatcher.polls <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-h.dispatcher.polls }()
	if h.Now() > before {
		poll.Ack = 0
	}
	if !h.sendToRelay(ctx, worker, poll) {
		h.sendDirect(ctx, poll, before)
	}
}

// sendToRelay gives a command to a relay and reports whether there is one for the worker.
func (h *Host) sendToRelay(ctx context.Context, worker string, cmd any) bool {
	now := h.Now()
	d := &h.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	route := d.plan.Route(worker, d.zones[worker])
	if len(route) == 0 {
		return false
	}
	// If all relays of the route are paused, the cause is more likely this host's link
	// than the relays, and calling the workers directly would take more of it.
	name := route[0]
	for _, candidate := range route {
		if now >= d.outbox(candidate).pausedUntil {
			name = candidate
			break
		}
	}
	out := d.outbox(name)
	if out.queue == nil {
		out.queue = &batch.Queue[relayCommand]{Interval: relayInterval, MaxSize: maxBatchBytes, Size: relayCommand.size, Send: func(commands []relayCommand) {
			h.sendBatch(ctx, name, commands)
		}}
	}
	d.nextID++
	d.pending[d.nextID] = relayed{command: cmd, relay: name, sent: now, deadline: now + commandDuration(cmd) + relayMargin}
	out.queue.Add(encodeCommand(d.nextID, cmd))
	return true
}

// outbox returns the outbox of a relay. The caller must hold d.mu.
func (d *dispatcher) outbox(name string) *outbox {
	if d.outboxes == nil {
		d.outboxes, d.pending = map[string]*outbox{}, map[uint64]relayed{}
	}
	if d.outboxes[name] == nil {
		d.outboxes[name] = &outbox{}
	}
	return d.outboxes[name]
}

// commandDuration returns the longest time that the call to the worker may take.
func commandDuration(cmd any) time.Duration {
	if poll, ok := cmd.(cell.Poll); ok {
		return poll.Wait + pollMargin
	}
	return commandTimeout
}

// sendBatch delivers commands to a relay, except those of an earlier claim: they carry
// another token, and all commands of a batch share one.
func (h *Host) sendBatch(ctx context.Context, name string, commands []relayCommand) {
	commands = h.dispatcher.stillPending(commands)
	if len(commands) == 0 {
		return
	}
	b := newRelayBatch(h.Session, h.Addr, commands)
	b.StartBefore = h.Now() + commandTimeout
	_, err := h.callPeer(ctx, h.ownership.host(name).Addr, request{Kind: kindRelay, Commands: b}, relayTimeout)
	if err == nil || ctx.Err() != nil {
		return
	}
	failure := cell.NoAnswer
	if errors.Is(err, peer.ErrUnreachable) {
		failure = cell.Withheld
	}
	h.dispatcher.pause(h, name, "a batch was not delivered")
	for _, command := range commands {
		if r, pending := h.dispatcher.take(command.ID); pending {
			h.post(ctx, r.failed(failure, h.Now()))
		}
	}
}

// stillPending returns the commands that wait for an outcome.
func (d *dispatcher) stillPending(commands []relayCommand) []relayCommand {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.DeleteFunc(commands, func(c relayCommand) bool {
		_, pending := d.pending[c.ID]
		return !pending
	})
}

// take removes a pending command and reports whether it was there.
func (d *dispatcher) take(id uint64) (relayed, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, pending := d.pending[id]
	delete(d.pending, id)
	return r, pending
}

// pause stops using a relay for relayPause.
func (d *dispatcher) pause(h *Host, name, why string) {
	now := h.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	out := d.outbox(name)
	if now >= out.pausedUntil {
		h.Log.Warn("relay fails", "relay", name, "why", why)
	}
	out.pausedUntil = now + relayPause
}

// failed returns the outcome of a command whose relay gave none.
func (r *relayed) failed(failure cell.Failure, now cell.Instant) any {
	switch c := r.command.(type) {
	case cell.Start:
		return cell.Started{Token: c.Token, Worker: c.Worker, Task: c.Task, Run: c.Run, Received: now, Failure: failure}
	case cell.Stop:
		return cell.StopDone{Token: c.Token, Worker: c.Worker, Task: c.Task, Run: c.Run, Received: now, Failure: failure}
	case cell.Poll:
		return cell.PollResult{Token: c.Token, Worker: c.Worker, Sent: r.sent, Received: now, Failure: failure}
	default:
		return nil // dispatch is given no other commands
	}
}

// handleRelayResults posts the outcomes of relayed commands to the cell.
func (h *Host) handleRelayResults(ctx context.Context, r request) {
	if r.Session != h.Session {
		return // meant for an earlier process at this address
	}
	now := h.Now()
	for i := range r.Results {
		result := &r.Results[i]
		command, pending := h.dispatcher.take(result.ID)
		if !pending {
			continue
		}
		h.dispatcher.answered(command.relay, now)
		h.post(ctx, result.outcome(&command, now))
	}
}

// answered records that a relay returned an outcome.
func (d *dispatcher) answered(name string, now cell.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outbox(name).lastResultAt = now
}

// expire returns the outcomes of the commands that are unanswered. If it was not called
// in time, this host was suspended or is behind, and outcomes may be waiting, so all
// commands get as much more time.
func (d *dispatcher) expire(h *Host, now cell.Instant) []any {
	d.mu.Lock()
	defer d.mu.Unlock()
	passed := now - d.checked
	if passed < expiryInterval {
		return nil
	}
	d.checked = now
	late := passed - 2*expiryInterval
	var outcomes []any
	for id, r := range d.pending {
		if late > 0 {
			r.deadline += late
			d.pending[id] = r
		}
		if now < r.deadline {
			continue
		}
		delete(d.pending, id)
		outcomes = append(outcomes, r.failed(cell.NoAnswer, now))
		if out := d.outbox(r.relay); out.lastResultAt < r.sent && now >= out.pausedUntil {
			out.pausedUntil = now + relayPause
			h.Log.Warn("relay fails", slog.String("relay", r.relay), slog.String("why", "a command has no outcome"))
		}
	}
	return outcomes
}
