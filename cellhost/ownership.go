package cellhost

import (
	"cmp"
	"context"
	"hash/fnv"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/cowslipgap/cowslipgap/cell"
	"github.com/cowslipgap/cowslipgap/headroom"
	"github.com/cowslipgap/cowslipgap/pause"
	"github.com/cowslipgap/cowslipgap/peer"
)

const (
	// heartbeatInterval is the time between two heartbeats to the owner.
	heartbeatInterval = 300 * time.Millisecond
	// weakHeartbeats is how many heartbeats a second all weak hosts together send to the
	// owner at most. They need not detect its end soon, because strong hosts claim the
	// cell first.
	weakHeartbeats = 150
	// weakSteps is the number of extra steps from which on a host counts as weak.
	weakSteps = maxExtraSteps / 2
	// announceParallel is how many hosts a new owner tells about its claim at a time.
	announceParallel = 8
	// heartbeatTimeout bounds a heartbeat, a probe and an offer of the cell.
	heartbeatTimeout = 400 * time.Millisecond
	// suspectTimeout bounds a heartbeat to an owner that failed to answer the last
	// one.
	suspectTimeout = 100 * time.Millisecond
	// staleCommitAge is the age of the owner's last confirmed commit at which other
	// hosts start to try to claim the cell. An owner commits at least four times a
	// second.
	staleCommitAge = 1000 * time.Millisecond
	// unchangedBeforeClaim is how long the head row must stay unchanged before a
	// host claims the cell of an owner that it cannot reach. It is longer than the
	// owner's longest time between commits. If the store is slow, a claim may come
	// too early, which moves the cell but does no harm.
	unchangedBeforeClaim = 500 * time.Millisecond
	// hostListInterval is the minimum time between two requests for the list of hosts,
	// which changes many times while hosts start.
	hostListInterval = 3 * time.Second
	// memberTimeout is how long a host that sends a heartbeat every heartbeatInterval
	// counts as present after its last one.
	memberTimeout = 4 * heartbeatInterval
	// isolationTimeout is how long an owner that had members may receive no
	// heartbeat before it probes the other hosts.
	isolationTimeout = 1500 * time.Millisecond
	// handOverAge is the age of an owner's last confirmed commit beyond which it
	// offers the cell to hosts that can reach the store.
	handOverAge = 800 * time.Millisecond
	// handOverAgeRefused replaces handOverAge if the store refuses this host. It is
	// longer than the owner's longest time between commits, so that a single
	// refusal does not move the cell.
	handOverAgeRefused = 300 * time.Millisecond
	// ownerRecoveryWait is how long a host that is offered the cell waits for a new
	// commit of the owner. A store that refused all hosts accepts all of them again
	// at the same moment, and the owner retries every commitRetryDelay.
	ownerRecoveryWait = 100 * time.Millisecond
	// promptReadTimeout bounds a read of the head row by a host that is offered the
	// cell. A store that works at its usual speed answers sooner.
	promptReadTimeout = 150 * time.Millisecond
	// claimStagger is one step of the delay before a claim. Candidates with different
	// numbers of steps rarely claim at the same time.
	claimStagger = 60 * time.Millisecond
	// candidateSteps is the number of steps over which candidates with the same
	// number of cores are spread.
	candidateSteps = 5
	// maxExtraSteps is the largest number of extra steps with which a host claims
	// because other hosts are stronger.
	maxExtraSteps = 12
	// headRefreshInterval is the time between two writes of the head row by a new
	// owner that loads the cell. Together with a call to the store it is less than
	// unchangedBeforeClaim, even if the store is tens of times slower than
	// usual.
	headRefreshInterval = 250 * time.Millisecond
	// loadTimeout bounds one attempt to load the cell; each page that it reads has its
	// own timeout. A claim whose load takes longer is not worth keeping, so it is
	// abandoned. Another host has claimed the cell or will claim it.
	loadTimeout = cell.MaxLeaseAfterCommit
	// resignTimeout bounds the wait for commits in progress before the cell is given
	// up. Commits are retried until the store answers, so without this bound the wait
	// lasts as long as an outage of the store. It equals the timeout of one call to the
	// store.
	resignTimeout = storeTimeout
	// reclaimDelay is how long a host that gave the cell up does not claim it, so that
	// other hosts can claim it first.
	reclaimDelay = 2 * time.Second
)

// ErrStoreRefused marks errors of calls that the store apparently refused. The store
// may still serve other hosts.
var ErrStoreRefused = errors.New("cellhost: refused by the store")

// ErrRowsRejected marks errors of writes that the store rejects for good, as one of the rows is
// not one that it takes.
var ErrRowsRejected = errors.New("cellhost: rows rejected by the store")

// ownership holds what a host knows about the ownership of the cell.
type ownership struct {
	mu           sync.Mutex
	owner        HeadRow           // the last known owner; Version is kept current only while this host owns the cell
	isOwner      bool              // this host owns the cell
	claiming     bool              // a claim is in progress
	confirmedAt  cell.Instant      // when this host sent its last confirmed commit or head refresh
	ownerSeenAt  cell.Instant      // when another host last answered as the owner, with a recent commit
	storeDown    bool              // the last call to the store failed
	storeRefuses bool              // the store refuses this host's commits
	members      map[string]member // hosts that send heartbeats to this one, by name
	hosts        hostList          // all hosts ever heard of
	ownerHosts   uint64            // version of the list of hosts last received from an owner
	ownerHostsAt cell.Instant      // when it was requested
	resignedAt   cell.Instant      // when this host last gave the cell up
	claimedAt    cell.Instant      // when this host last began to act as the owner
	clock        ownerClock
}

// member is a host that sends heartbeats to this one.
type member struct {
	hostInfo
	lastHeartbeat cell.Instant
	interval      time.Duration // between its heartbeats; 0: heartbeatInterval
	startedAt     cell.Instant  // when its process started
	usage         headroom.Usage
	passedOver    bool // gets no work for others, because it has too little left
}

// timeout returns how long the host counts as present after its last heartbeat.
func (m *member) timeout() time.Duration {
	return memberTimeout / heartbeatInterval * max(m.interval, heartbeatInterval)
}

func (o *ownership) owns() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.isOwner
}

// commitsStalled reports whether this host owns the cell, but has had no commit
// confirmed for so long that another host should take the cell over.
func (o *ownership) commitsStalled(now cell.Instant) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	limit := handOverAge
	if o.storeRefuses {
		limit = handOverAgeRefused
	}
	return o.isOwner && now-o.confirmedAt > limit
}

// certainlyOwns reports whether this host certainly owns the cell: no other host claims a
// cell within handOverAgeRefused of the owner's last commit.
func (o *ownership) certainlyOwns(now cell.Instant) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.isOwner && now-o.confirmedAt <= handOverAgeRefused
}

// nextHead returns the head row that the next commit writes, with the version that
// the write is conditional on. It reports whether this host owns the cell.
func (o *ownership) nextHead(seq uint64) (HeadRow, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	head := o.owner
	head.Seq = seq
	return head, o.isOwner
}

// setOwner records that another host owns the cell, or that no owner is known. This
// host no longer owns it.
func (o *ownership) setOwner(head HeadRow) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.owner, o.isOwner = head, false
}

// updateOwner records the owner as read from the store or told by another host. It
// does nothing if this host owns the cell, as the information may be older than this
// host's claim.
func (o *ownership) updateOwner(head HeadRow) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.isOwner {
		o.owner = head
	}
}

// beginClaim reports whether a claim may begin: this host neither owns the cell nor
// is claiming it. A second claim would be mistaken for a resent write of the first.
func (o *ownership) beginClaim() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.isOwner || o.claiming {
		return false
	}
	o.claiming = true
	return true
}

func (o *ownership) endClaim() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.claiming = false
}

// currentOwner returns the last known owner, and reports whether it is this host.
func (o *ownership) currentOwner() (HeadRow, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.owner, o.isOwner
}

// commitConfirmed records that a commit of this host's claim with the given token, first
// sent at the given time, took effect. That of an earlier claim says only that the store
// answers.
func (o *ownership) commitConfirmed(h *Host, token, version uint64, sent cell.Instant) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.isOwner && o.owner.Token == token {
		o.owner.Version = version
		o.confirmedAt = max(o.confirmedAt, sent)
	}
	o.storeRefuses = false
	if o.storeDown {
		o.storeDown = false
		h.Log.Info("store answers again")
	}
}

// storeFailed records that a call to the store returned no usable answer.
func (o *ownership) storeFailed(h *Host, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.storeDown {
		o.storeDown = true
		h.Log.Warn("store does not answer", "error", err)
	}
}

// commitFailed records that a commit returned no usable answer.
func (o *ownership) commitFailed(h *Host, err error) {
	o.storeFailed(h, err)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.storeRefuses = errors.Is(err, ErrStoreRefused)
}

// storeAnswered records that the store can be reached.
func (o *ownership) storeAnswered(h *Host) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.storeDown {
		o.storeDown = false
		h.Log.Info("store answers again")
	}
}

// recordMember records a host that sent a heartbeat to this one.
func (o *ownership) recordMember(name string, m member) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.members == nil {
		o.members = map[string]member{}
	}
	m.passedOver = !m.usage.CanHelp(m.lastHeartbeat, o.members[name].passedOver)
	o.members[name] = m
	o.hosts.record(name, m.hostInfo)
}

// successors returns the names of the other hosts in the order in which they are
// offered the cell: those that send heartbeats before those that do not, strong ones
// before weak ones, then those that started last. In a rolling replacement of the
// hosts, those that started last are not replaced again.
func (o *ownership) successors(self string) []string {
	names := slices.Collect(maps.Keys(o.others(self)))
	o.mu.Lock()
	defer o.mu.Unlock()
	steps := func(name string) int {
		m, present := o.members[name]
		if !present {
			return maxExtraSteps + 1
		}
		return o.hosts.extraSteps(m.hostInfo)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(steps(a), steps(b)), cmp.Compare(o.members[b].startedAt, o.members[a].startedAt), cmp.Compare(a, b))
	})
	return names
}

// host returns what is known about a host; its address is "" if it is unknown.
func (o *ownership) host(name string) hostInfo {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.hosts.byName[name]
}

// others returns the addresses, by name, of all hosts ever heard of except this one.
func (o *ownership) others(self string) map[string]string {
	o.mu.Lock()
	defer o.mu.Unlock()
	addrs := make(map[string]string, len(o.hosts.byName))
	for name, info := range o.hosts.byName {
		if name != self {
			addrs[name] = info.Addr
		}
	}
	return addrs
}

// pruneMembers removes the members that have sent no heartbeat for their timeout and
// returns the names of the remaining ones.
func (o *ownership) pruneMembers(now cell.Instant) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var names []string
	for name, m := range o.members {
		if now-m.lastHeartbeat > m.timeout() {
			delete(o.members, name)
			continue
		}
		names = append(names, name)
	}
	return names
}

// maintainOwnership sends heartbeats to the owner, and claims the cell when it has
// no working owner.
func (h *Host) maintainOwnership(ctx context.Context) {
	k := ownershipKeeper{host: h}
	for ctx.Err() == nil {
		switch isOwner := h.ownership.owns(); {
		case isOwner:
			k.stepAsOwner(ctx)
			if h.leaving.Load() && !h.ownership.commitsStalled(h.Now()) {
				h.resign(ctx) // this host was told to leave while it was claiming the cell
			}
		case !h.leaving.Load():
			k.stepAsFollower(ctx)
		}
		h.waitForStep(ctx, k.pause())
	}
}

// waitForStep waits until the next step of the ownership keeper is due, or this host has
// reason to believe that the owner has changed.
func (h *Host) waitForStep(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-h.ownerDoubted:
		pause.Sleep(ctx, min(delay, claimStagger))
	}
}

// doubtOwner makes the ownership keeper check the owner soon.
func (h *Host) doubtOwner() {
	select {
	case h.ownerDoubted <- struct{}{}:
	default: // a check is pending
	}
}

// ownershipKeeper is the state of the goroutine that maintains the ownership.
type ownershipKeeper struct {
	host         *Host
	head         HeadRow      // the head row as last read
	headSince    cell.Instant // when this version of the head row was first read
	ownerSuspect bool         // the owner failed to answer the last heartbeat
	postedHosts  string       // names of the hosts last posted to the cell
	workLimit    int64        // last posted to the cell
	lastMemberAt cell.Instant // when this owner last had a member
	hadMembers   bool         // this owner has had members
	expiredSince cell.Instant // since when this owner has been unable to read the operators' requests; 0: it is able
	offering     atomic.Bool  // the cell is being offered to other hosts
	passedOver   bool         // this owner has too little left to call the advice service
	loggedBusy   string       // members last logged as passed over
}

// pause returns the time until the next step.
func (k *ownershipKeeper) pause() time.Duration {
	k.host.ownership.mu.Lock()
	refused := k.host.ownership.isOwner && k.host.ownership.storeRefuses
	k.host.ownership.mu.Unlock()
	if k.ownerSuspect || refused {
		return claimStagger
	}
	return k.host.heartbeatInterval()
}

// heartbeatInterval returns the time between two heartbeats of this host.
func (h *Host) heartbeatInterval() time.Duration {
	h.ownership.mu.Lock()
	defer h.ownership.mu.Unlock()
	hosts := &h.ownership.hosts
	if h.ownership.isOwner || hosts.extraSteps(h.info()) < weakSteps {
		return heartbeatInterval
	}
	return max(heartbeatInterval, time.Duration(len(hosts.byName))*time.Second/weakHeartbeats)
}

// stepAsOwner posts changes of the members to the cell, offers the cell if commits are
// stalled, and gives it up if this host is isolated from all others while they may
// be able to serve.
func (k *ownershipKeeper) stepAsOwner(ctx context.Context) {
	h := k.host
	k.ownerSuspect = false
	names := h.ownership.pruneMembers(h.Now())
	if len(names) > 0 {
		k.lastMemberAt, k.hadMembers = h.Now(), true
	}
	hosts := k.hostsForAdvice(names)
	if key := strings.Join(hosts, ","); key != k.postedHosts {
		k.postedHosts = key
		h.Log.Info("entry hosts", "present", hosts)
		h.post(ctx, cell.AdviceHosts{Hosts: hosts})
	}
	if limit := h.workLimit(); limit != k.workLimit {
		k.workLimit = limit
		h.post(ctx, cell.WorkLimit{Memory: limit})
	}
	if h.ownership.commitsStalled(h.Now()) {
		k.offer(ctx)
	}
	k.handOverExpired(ctx)
	if k.hadMembers && h.Now()-k.lastMemberAt > isolationTimeout && h.isolated(ctx) {
		h.Log.Warn("no other entry host can be reached", "silent", h.Now()-k.lastMemberAt)
		k.hadMembers = false
		h.resign(ctx)
	}
}

// offer offers the cell to the other hosts on another goroutine. Each host that does
// not answer adds to the time that this takes, and the members must be updated
// meanwhile.
func (k *ownershipKeeper) offer(ctx context.Context) {
	if !k.offering.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer k.offering.Store(false)
		k.host.offer(ctx, true)
	}()
}

// isolated reports whether this host can reach no other host: none answers a probe, and
// none refuses the connection. A refused connection shows that the machine is
// reachable, although its process is not running.
func (h *Host) isolated(ctx context.Context) bool {
	others := h.ownership.others(h.Name)
	unreachable := make(chan bool, len(others))
	for _, addr := range others {
		go func() {
			_, err := h.callPeer(ctx, addr, request{Kind: kindProbe}, heartbeatTimeout)
			reachable := err == nil || errors.Is(err, peer.ErrUnreachable) && !errors.Is(err, context.DeadlineExceeded) && !isTimeout(err)
			unreachable <- !reachable
		}()
	}
	for range others {
		if !<-unreachable {
			return false
		}
	}
	return true
}

// isTimeout reports whether an error in the chain is a timeout.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// resign gives the cell up and offers it to the other hosts, one after the other. If
// a commit in progress takes longer than resignTimeout, the cell is given up after
// the commit, without an offer.
func (h *Host) resign(ctx context.Context) {
	waitCtx, cancel := context.WithTimeout(ctx, resignTimeout)
	defer cancel()
	done := make(chan bool, 1)
	select {
	case h.commits <- writeRequest{resign: done}:
	case <-waitCtx.Done():
		h.Log.Warn("cell not handed over", "error", "earlier commits are not confirmed")
		return
	}
	vacant := false
	select {
	case vacant = <-done:
	case <-waitCtx.Done():
		h.Log.Warn("cell not handed over in time", "error", "a commit is not confirmed; the cell is given up after it")
		return
	}
	h.ownership.mu.Lock()
	h.ownership.resignedAt = h.Now()
	h.ownership.mu.Unlock()
	if !vacant {
		return
	}
	h.offer(ctx, false)
}

// offer asks the other hosts, one after the other, to claim the cell. The cell is
// vacant, or, if owned is set, this host owns it but cannot write to the store.
func (h *Host) offer(ctx context.Context, owned bool) {
	for _, name := range h.ownership.successors(h.Name) {
		if owned && !h.ownership.commitsStalled(h.Now()) {
			return // the store answers again, or another host owns the cell
		}
		r := request{Kind: kindOffer}
		if owned {
			r.ID = h.Session
		}
		reply, err := h.callPeer(ctx, h.ownership.host(name).Addr, r, heartbeatTimeout)
		if err == nil && reply.Owner {
			h.Log.Info("cell handed over", "to", name, "owned", owned)
			return
		}
	}
}

// stepAsFollower sends a heartbeat to the owner. If the owner does not answer, it reads
// the head row and may claim the cell.
func (k *ownershipKeeper) stepAsFollower(ctx context.Context) {
	h := k.host
	k.hadMembers, k.postedHosts = false, ""
	owner, _ := h.ownership.currentOwner()
	timeout := heartbeatTimeout
	if k.ownerSuspect {
		timeout = suspectTimeout
	}
	if owner.Addr != "" && owner.Session != h.Session && h.sendHeartbeat(ctx, owner, timeout) {
		k.ownerSuspect = false
		return
	}
	k.ownerSuspect = true
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	head, err := h.ReadHead(callCtx)
	cancel()
	if err != nil {
		h.ownership.storeFailed(h, err)
		h.findOwner(ctx)
		pause.Sleep(ctx, heartbeatInterval)
		return
	}
	h.ownership.storeAnswered(h)
	now := h.Now()
	if head.Version != k.head.Version || head.Session != k.head.Session {
		k.headSince = now
		if head.Session != owner.Session && !head.Vacant && head.Version > 0 && head.Name != h.Name {
			h.ownership.updateOwner(head)
			k.head = head
			return
		}
	}
	k.head = head
	if h.mayClaim(head, now-k.headSince) {
		h.claim(ctx, head, k.headSince)
	}
}

// mayClaim reports whether this host may claim a cell whose head row has been
// unchanged for the given time. The owner has ended, is unreachable or has given the
// cell up. Each candidate waits for its own number of delay steps, and, if the
// cell is not vacant, for unchangedBeforeClaim as well. A cell whose head row names
// an earlier process of this host is claimed at once.
func (h *Host) mayClaim(head HeadRow, unchanged time.Duration) bool {
	delay := time.Duration(h.claimSteps(head.Version)) * claimStagger
	h.ownership.mu.Lock()
	resignedAt := h.ownership.resignedAt
	h.ownership.mu.Unlock()
	if resignedAt > 0 && h.Now()-resignedAt < reclaimDelay {
		return false
	}
	switch {
	case h.Rules() == nil || h.requestsExpired():
		return false
	case head.Name == h.Name && head.Session != h.Session:
		return true // the earlier process of this host has ended
	case head.Version == 0 || head.Vacant:
		return unchanged >= delay
	default:
		return unchanged >= unchangedBeforeClaim+delay
	}
}

// claimSteps returns the delay of this host's claim, in steps of claimStagger. Hosts
// with few cores come last, as an owner needs more processor time than other hosts.
// The order of equal hosts changes with each version of the head row.
func (h *Host) claimSteps(version uint64) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(h.Name)) // never fails
	return h.extraSteps() + int((uint64(hash.Sum32())+version)%candidateSteps)
}

// claim claims the cell, unless this host owns it or is already claiming it. The head row was
// first read in this version at readAt.
func (h *Host) claim(ctx context.Context, head HeadRow, readAt cell.Instant) {
	if !h.ownership.beginClaim() {
		return
	}
	defer h.ownership.endClaim()
	newHead := Head{Session: h.Session, Name: h.Name, Addr: h.Addr}
	sent := h.Now()
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	version, current, err := h.Write(callCtx, head.Version, newHead, nil, nil)
	cancel()
	if err == nil && current != nil && current.Session == h.Session && current.Token == 0 {
		version, current = current.Version, nil // an earlier write of the claim took effect
	}
	switch {
	case err != nil:
		h.ownership.storeFailed(h, err)
		return // the next read of the head row shows whether the claim took effect
	case current != nil:
		h.ownership.setOwner(*current)
		return
	}
	newHead.Token = version
	h.takeOver(ctx, &claimedHead{HeadRow: HeadRow{Head: newHead, Version: version}, sent: sent, previousReadAt: readAt}, head.Version > 0)
}

// claimedHead is the head row as a new owner last wrote it.
type claimedHead struct {
	HeadRow
	sent           cell.Instant // when the last confirmed write of the head row was sent
	previousReadAt cell.Instant // when the last version of the earlier owner was first read
}

// takeOver loads the cell while the head row is refreshed, then makes this host act as
// the owner. hadOwner reports whether an earlier owner may have left work on workers.
func (h *Host) takeOver(ctx context.Context, head *claimedHead, hadOwner bool) {
	claimedAt := h.Now()
	var stored cell.Stored
	refreshCtx, stopRefresh := context.WithCancel(ctx)
	defer stopRefresh()
	loadCtx, cancelLoad := context.WithCancel(ctx)
	defer cancelLoad()
	claimValid := make(chan bool, 1)
	go func() {
		ok := h.refreshHead(ctx, refreshCtx, head)
		if !ok {
			cancelLoad()
		}
		claimValid <- ok
	}()
	learned := h.readLearned(loadCtx)
	for loadCtx.Err() == nil {
		callCtx, cancel := context.WithTimeout(loadCtx, loadTimeout)
		var err error
		stored, err = h.Load(callCtx)
		cancel()
		if err == nil || loadCtx.Err() != nil {
			break
		}
		stopRefresh() // lets another host, which may be able to load the cell, claim it
		h.ownership.storeFailed(h, err)
		if h.Now()-claimedAt > cell.MaxLeaseAfterCommit {
			return // another host has claimed the cell or will claim it
		}
		pause.Sleep(loadCtx, commitRetryDelay)
	}
	stopRefresh()
	if !<-claimValid {
		return
	}
	h.Counts.Claims.Add(1)
	h.Counts.Takeover.Observe(h.Now() - claimedAt)
	h.dispatcher.reset(h.Now())
	h.ownership.mu.Lock()
	h.ownership.owner, h.ownership.isOwner = head.HeadRow, true
	h.ownership.confirmedAt = head.sent
	h.ownership.members = nil
	h.ownership.claimedAt = h.Now()
	h.ownership.mu.Unlock()
	h.planRelaysForRoster(stored.Workers)
	if len(stored.Jobs) > 0 {
		h.claimedAt.Store(int64(claimedAt))
	}
	claimed := cell.Claimed{Token: head.Token, Sent: head.sent, Previous: hadOwner, PreviousReadAt: head.previousReadAt, Jobs: stored.Jobs, Workers: stored.Workers, Unreadable: stored.Unreadable}
	claimed.Learned, claimed.LearnedFailure = learned()
	h.post(ctx, claimed)
	h.post(ctx, cell.AdviceHosts{Hosts: []string{h.Name}})
	select {
	case h.claimed <- struct{}{}: // nothing starts before the workers are listed
	default:
	}
	go h.announce(ctx, head.HeadRow)
}

// announce tells the other hosts that this host owns the cell, so that calls which wait
// for an owner reach it before the next heartbeat.
func (h *Host) announce(ctx context.Context, head HeadRow) {
	tokens := make(chan struct{}, announceParallel)
	for _, addr := range h.ownership.others(h.Name) {
		tokens <- struct{}{}
		go func() {
			defer func() { <-tokens }()
			// A host that is not reached reads the head row when it finds no owner.
			_, _ = h.callPeer(ctx, addr, request{Kind: kindAnnounce, Head: &head}, heartbeatTimeout)
		}()
	}
}

// handleAnnounce records a new owner, unless the known one has claimed the cell later.
func (o *ownership) handleAnnounce(head *HeadRow) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if head != nil && !o.isOwner && head.Token > o.owner.Token {
		o.owner = *head
	}
}

// refreshHead rewrites the head row until refreshCtx ends: other hosts claim a cell whose
// head row stays unchanged, and loading takes longer the more jobs there are. After
// refreshCtx ends, it returns as soon as the current version is known. It reports
// whether the claim is still valid. A weak host delays the first write by its extra
// steps, so that stronger hosts can claim the cell first.
func (h *Host) refreshHead(ctx, refreshCtx context.Context, head *claimedHead) bool {
	wait := headRefreshInterval + time.Duration(h.extraSteps())*claimStagger
	for versionKnown := true; ctx.Err() == nil && h.Now()-head.sent <= cell.MaxLeaseAfterCommit; {
		if versionKnown && !pause.Sleep(refreshCtx, wait) {
			return ctx.Err() == nil
		}
		wait = headRefreshInterval
		sent := h.Now()
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		version, current, err := h.Write(callCtx, head.Version, head.Head, nil, nil)
		cancel()
		versionKnown = err == nil
		switch {
		case err != nil:
			h.ownership.storeFailed(h, err)
			pause.Sleep(ctx, commitRetryDelay)
		case current == nil:
			head.Version, head.sent = version, sent
		case current.Session == h.Session && current.Token == head.Token:
			head.Version = current.Version // an earlier write took effect
		default:
			h.ownership.setOwner(*current)
			return false
		}
	}
	return false
}

// loseOwnership records that the claim with the given token has ended; head is the
// current head row. It does nothing if this host has claimed the cell again since.
func (h *Host) loseOwnership(ctx context.Context, token uint64, head HeadRow) {
	h.ownership.mu.Lock()
	claimIsCurrent := h.ownership.isOwner && h.ownership.owner.Token == token
	if claimIsCurrent {
		h.ownership.owner, h.ownership.isOwner = head, false
	}
	h.ownership.mu.Unlock()
	if !claimIsCurrent {
		return
	}
	h.Counts.OwnershipLosses.Add(1)
	h.post(ctx, cell.Deposed{Reason: "claimed by " + head.Name})
}
