package station

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
	"github.com/cowslipgap/cowslipgap/pause"
	"github.com/cowslipgap/cowslipgap/peer"
)

const (
	// greetEvery is the time between two greetings of the owner.
	greetEvery = 300 * time.Millisecond
	// greetTimeout bounds a greeting.
	greetTimeout = 400 * time.Millisecond
	// suspectTimeout bounds it once the owner has not answered.
	suspectTimeout = 100 * time.Millisecond
	// staleCommit is the age of the owner's last confirmed commit from which on
	// other hosts try to take the cell. An owner commits four times a second.
	staleCommit = 1000 * time.Millisecond
	// unchangedFor is for how long the head must stand unchanged before a host
	// claims the cell of an owner that it cannot reach. It is longer than the
	// owner's longest time between commits; where the store is slow a claim may
	// come too early, which moves the cell and does no harm.
	unchangedFor = 500 * time.Millisecond
	// memberFor is for how long a host counts as present after its greeting.
	memberFor = 1200 * time.Millisecond
	// aloneFor is for how long an owner that had company may hear from no other
	// host before it looks for them.
	aloneFor = 1500 * time.Millisecond
	// handOverAfter is the age of an owner's last confirmed commit from which on
	// it asks hosts that reach the store to take the cell.
	handOverAfter = 800 * time.Millisecond
	// handOverRefused is that age if the store refuses this host: more than a
	// heartbeat, so that a single refusal does not move the cell.
	handOverRefused = 300 * time.Millisecond
	// ownerChance is for how long an owner that offers its cell may still show that
	// it can write again: a store that turned all hosts away serves them all at one
	// moment, and the owner tries every commitRetry.
	ownerChance = 100 * time.Millisecond
	// storePrompt is the longest time that a working store takes for a read.
	storePrompt = 150 * time.Millisecond
	// claimStagger is the delay between candidates, so that they seldom collide.
	claimStagger = 60 * time.Millisecond
	// candidateTurns is how many turns candidates of equal strength are spread
	// over.
	candidateTurns = 5
	// strongCores is the processor share of a host that need not stand back,
	// weakTurns is by how many turns a host stands back for each core that it
	// lacks, up to maxWeakTurns.
	strongCores  = 0.8
	weakTurns    = 20
	maxWeakTurns = 12
	// holdEvery is the time between two writings of the head by a new owner that
	// loads the cell. With a call to the store it is less than unchangedFor, also
	// where the store is some tens of times slower than usual.
	holdEvery = 250 * time.Millisecond
	// loadTimeout bounds one loading of the cell, each page of which has a bound of
	// its own: longer, and the claim would not be worth holding.
	loadTimeout = cell.Authority
	// resignTimeout bounds the wait for commits on their way before the cell is given
	// up, which last as long as an outage of the store: one call's longest time.
	resignTimeout = storeTimeout
	// reclaimDelay keeps a host that gave the cell up from taking it back before
	// others had their chance.
	reclaimDelay = 2 * time.Second
)

// ErrTurnedAway marks errors of calls that the store refused, as far as this host
// can see. It may serve other hosts.
var ErrTurnedAway = errors.New("station: turned away by the store")

// leadership is what a station knows of the cell's ownership.
type leadership struct {
	mu          sync.Mutex
	owner       HeadRow // the last known owner; Version is kept while owned here
	own         bool
	claiming    bool
	confirmedAt cell.Instant // of this host's commits
	ownerOK     cell.Instant // when the owner last answered with fresh commits
	storeDown   bool
	turnedAway  bool              // the store refuses this host's commits
	members     map[string]member // hosts that greet this one
	known       map[string]string // addresses of all hosts ever met, by name
	gaveUpAt    cell.Instant
}

type member struct {
	addr  string
	at    cell.Instant // of its last greeting
	cores float64      // processor share; 0 if it is not known
	began cell.Instant // when its process started
}

func (l *leadership) owns() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.own
}

// stalled reports whether this host owns the cell, but its commits have not been
// confirmed for so long that others should take it.
func (l *leadership) stalled(now cell.Instant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := handOverAfter
	if l.turnedAway {
		limit = handOverRefused
	}
	return l.own && now-l.confirmedAt > limit
}

// sure reports whether this host certainly owns the cell: none is taken sooner after
// a commit.
func (l *leadership) sure(now cell.Instant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.own && now-l.confirmedAt <= handOverRefused
}

// nextHead returns the head that the next commit writes, with the version that
// it is conditional on.
func (l *leadership) nextHead(seq uint64) (HeadRow, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	head := l.owner
	head.Seq = seq
	return head, l.own
}

// setOwner notes that another host owns the cell, or that none is known.
func (l *leadership) setOwner(head HeadRow) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.owner, l.own = head, false
}

// hear notes who owns the cell, from a reading or another host. That may be older
// than this host's own claim.
func (l *leadership) hear(head HeadRow) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.own {
		l.owner = head
	}
}

// beginClaim reports whether a claim may begin: this host neither owns the cell nor
// claims it already. A second claim would be taken for another sending of the first.
func (l *leadership) beginClaim() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.own || l.claiming {
		return false
	}
	l.claiming = true
	return true
}

func (l *leadership) endClaim() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.claiming = false
}

func (l *leadership) current() (HeadRow, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.owner, l.own
}

// confirmed notes that a commit of this host took effect.
func (l *leadership) confirmed(s *Station, version uint64, sent cell.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.owner.Version = version
	l.turnedAway = false
	l.confirmedAt = max(l.confirmedAt, sent)
	if l.storeDown {
		l.storeDown = false
		s.Log.Info("store answers again")
	}
}

// storeFailed notes that a call to the store had no usable answer.
func (l *leadership) storeFailed(s *Station, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.storeDown {
		l.storeDown = true
		s.Log.Warn("store does not answer", "error", err)
	}
}

// commitFailed notes that a commit had no usable answer.
func (l *leadership) commitFailed(s *Station, err error) {
	l.storeFailed(s, err)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.turnedAway = errors.Is(err, ErrTurnedAway)
}

// storeAnswered notes that the store can be reached.
func (l *leadership) storeAnswered(s *Station) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.storeDown {
		l.storeDown = false
		s.Log.Info("store answers again")
	}
}

// meet notes a host that greets this one.
func (l *leadership) meet(name string, m member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.members == nil {
		l.members = map[string]member{}
	}
	l.members[name] = m
	l.learn(name, m.addr)
}

// successors returns the names of the other hosts in the order in which they are
// offered the cell: those that greet before those that do not, strong ones before
// weak ones, then those that started last. Where hosts are replaced one after the
// other, these are not replaced again.
func (l *leadership) successors(self string) []string {
	names := slices.Collect(maps.Keys(l.others(self)))
	l.mu.Lock()
	defer l.mu.Unlock()
	turn := func(name string) int {
		m, greets := l.members[name]
		if !greets {
			return maxWeakTurns + 1
		}
		return weakness(m.cores)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(turn(a), turn(b)), cmp.Compare(l.members[b].began, l.members[a].began), cmp.Compare(a, b))
	})
	return names
}

// weakness is by how many turns a host stands back.
func weakness(cores float64) int {
	if cores <= 0 {
		return 0
	}
	return int(min(maxWeakTurns, max(0, (strongCores-cores)*weakTurns)))
}

func (l *leadership) learn(name, addr string) {
	if l.known == nil {
		l.known = map[string]string{}
	}
	l.known[name] = addr
}

// memberAddr returns where a host is reached.
func (l *leadership) memberAddr(name string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known[name]
}

// others returns the addresses of all hosts ever met but this one.
func (l *leadership) others(self string) map[string]string {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := maps.Clone(l.known)
	delete(list, self)
	return list
}

// present drops members that have gone silent and returns the names of the
// others.
func (l *leadership) present(now cell.Instant) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var names []string
	for name, m := range l.members {
		if now-m.at > memberFor {
			delete(l.members, name)
			continue
		}
		names = append(names, name)
	}
	return names
}

// keepLead greets the owner, and takes the cell when there is none.
func (s *Station) keepLead(ctx context.Context) {
	k := keeper{station: s}
	for ctx.Err() == nil {
		switch own := s.lead.owns(); {
		case own:
			k.tendOwn(ctx)
			if s.leaving.Load() && !s.lead.stalled(s.Now()) {
				s.resign(ctx) // it was taking the cell when it was told to leave
			}
		case !s.leaving.Load():
			k.tendOther(ctx)
		}
		pause.For(ctx, k.pause())
	}
}

// keeper is the state of the goroutine that keeps the ownership.
type keeper struct {
	station  *Station
	head     HeadRow      // as last read
	since    cell.Instant // when it was first seen so
	suspects bool         // the owner does not answer
	hosts    string       // the members last told to the cell
	heard    cell.Instant // when another host last greeted this owner
	company  bool         // another host has greeted it
	offering atomic.Bool  // the cell is being offered
}

func (k *keeper) pause() time.Duration {
	k.station.lead.mu.Lock()
	turnedAway := k.station.lead.own && k.station.lead.turnedAway
	k.station.lead.mu.Unlock()
	if k.suspects || turnedAway {
		return claimStagger
	}
	return greetEvery
}

// tendOwn keeps the members, and gives the cell up if this host is cut off from
// all others while they may be able to serve.
func (k *keeper) tendOwn(ctx context.Context) {
	s := k.station
	k.suspects = false
	names := s.lead.present(s.Now())
	if len(names) > 0 {
		k.heard, k.company = s.Now(), true
	}
	hosts := append([]string{s.Name}, names...)
	slices.Sort(hosts)
	if key := strings.Join(hosts, ","); key != k.hosts {
		k.hosts = key
		s.Log.Info("entry hosts", "present", hosts)
		s.post(ctx, cell.Members{Hosts: hosts})
	}
	if s.lead.stalled(s.Now()) {
		k.offer(ctx)
	}
	if k.company && s.Now()-k.heard > aloneFor && s.cutOff(ctx) {
		s.Log.Warn("no other entry host can be reached", "silent", s.Now()-k.heard)
		k.company = false
		s.resign(ctx)
	}
}

// offer has the cell offered to the others, which takes the longer the more of them
// are silent. The members must be kept meanwhile.
func (k *keeper) offer(ctx context.Context) {
	if !k.offering.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer k.offering.Store(false)
		k.station.offer(ctx, true)
	}()
}

// cutOff reports whether no other host can be reached and none has refused the
// connection: a machine that refuses is there, its process is not.
func (s *Station) cutOff(ctx context.Context) bool {
	others := s.lead.others(s.Name)
	silent := make(chan bool, len(others))
	for _, addr := range others {
		go func() {
			_, err := s.callPeer(ctx, addr, request{Kind: kindProbe}, greetTimeout)
			there := err == nil || errors.Is(err, peer.ErrUnreachable) && !errors.Is(err, context.DeadlineExceeded) && !isTimeout(err)
			silent <- !there
		}()
	}
	for range others {
		if !<-silent {
			return false
		}
	}
	return true
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// resign gives the cell up and asks the others, one after the other, to take it. If
// a commit is on its way for long, the cell is given up after it without asking.
func (s *Station) resign(ctx context.Context) {
	waitCtx, cancel := context.WithTimeout(ctx, resignTimeout)
	defer cancel()
	done := make(chan bool, 1)
	select {
	case s.commits <- commitOrder{resign: done}:
	case <-waitCtx.Done():
		return
	}
	vacant := false
	select {
	case vacant = <-done:
	case <-waitCtx.Done():
		return
	}
	s.lead.mu.Lock()
	s.lead.gaveUpAt = s.Now()
	s.lead.mu.Unlock()
	if !vacant {
		return
	}
	s.offer(ctx, false)
}

// offer asks the other hosts, one after the other, to take the cell: one that is
// vacant, or that this host owns and cannot write for.
func (s *Station) offer(ctx context.Context, owned bool) {
	for _, name := range s.lead.successors(s.Name) {
		if owned && !s.lead.stalled(s.Now()) {
			return // the store answers again, or another host owns the cell
		}
		r := request{Kind: kindTake}
		if owned {
			r.ID = s.Session
		}
		reply, err := s.callPeer(ctx, s.lead.memberAddr(name), r, greetTimeout)
		if err == nil && reply.Owner {
			s.Log.Info("cell handed over", "to", name, "owned", owned)
			return
		}
	}
}

// tendOther greets the owner and watches it.
func (k *keeper) tendOther(ctx context.Context) {
	s := k.station
	k.company, k.hosts = false, ""
	owner, _ := s.lead.current()
	timeout := greetTimeout
	if k.suspects {
		timeout = suspectTimeout
	}
	if owner.Addr != "" && owner.Session != s.Session && s.greet(ctx, owner, timeout) {
		k.suspects = false
		return
	}
	k.suspects = true
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	head, err := s.ReadHead(callCtx)
	cancel()
	if err != nil {
		s.lead.storeFailed(s, err)
		s.learnOwner(ctx)
		pause.For(ctx, greetEvery)
		return
	}
	s.lead.storeAnswered(s)
	now := s.Now()
	if head.Version != k.head.Version || head.Session != k.head.Session {
		k.since = now
		if head.Session != owner.Session && !head.Vacant && head.Version > 0 && head.Name != s.Name {
			s.lead.hear(head)
			k.head = head
			return
		}
	}
	k.head = head
	if s.mayClaim(head, now-k.since) {
		s.claim(ctx, head)
	}
}

// mayClaim decides whether to claim a cell whose head has stood unchanged for
// the given time. It answers owners that die, are cut off or give up: a host
// that is alone with a vacant cell takes it at once, others wait their turn.
func (s *Station) mayClaim(head HeadRow, unchanged time.Duration) bool {
	turn := time.Duration(s.turn(head.Version)) * claimStagger
	s.lead.mu.Lock()
	gaveUp := s.lead.gaveUpAt
	s.lead.mu.Unlock()
	if gaveUp > 0 && s.Now()-gaveUp < reclaimDelay {
		return false
	}
	switch {
	case s.Rules() == nil:
		return false
	case head.Name == s.Name && head.Session != s.Session:
		return true // this host's earlier process is gone
	case head.Version == 0 || head.Vacant:
		return unchanged >= turn
	default:
		return unchanged >= unchangedFor+turn
	}
}

// turn spreads candidates, in another order for each claim, the strongest hosts
// first: an owner needs more processor time than the others.
func (s *Station) turn(version uint64) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s.Name)) // never fails
	return weakness(s.Cores) + int((uint64(h.Sum32())+version)%candidateTurns)
}

// claim takes the cell, unless that is under way or done.
func (s *Station) claim(ctx context.Context, head HeadRow) {
	if !s.lead.beginClaim() {
		return
	}
	defer s.lead.endClaim()
	mine := Head{Session: s.Session, Name: s.Name, Addr: s.Addr}
	sent := s.Now()
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	version, stands, err := s.Write(callCtx, head.Version, mine, nil, nil)
	cancel()
	if err == nil && stands != nil && stands.Session == s.Session && stands.Token == 0 {
		version, stands = stands.Version, nil // an earlier sending took effect
	}
	switch {
	case err != nil:
		s.lead.storeFailed(s, err)
		return // the head tells next time whether it took effect
	case stands != nil:
		s.lead.setOwner(*stands)
		return
	}
	mine.Token = version
	s.takeOver(ctx, &held{HeadRow: HeadRow{Head: mine, Version: version}, sent: sent}, head.Version > 0)
}

// held is the head as a new owner last wrote it.
type held struct {
	HeadRow
	sent cell.Instant // when the writing was sent that confirms the ownership
}

// takeOver begins to act as the owner, once the cell is loaded.
func (s *Station) takeOver(ctx context.Context, h *held, previous bool) {
	claimedAt := s.Now()
	var jobs []cell.Stored
	var workers []cell.WorkerRef
	holding, stop := context.WithCancel(ctx)
	defer stop()
	loading, abandon := context.WithCancel(ctx)
	defer abandon()
	kept := make(chan bool, 1)
	go func() {
		ok := s.holdHead(ctx, holding, h)
		if !ok {
			abandon()
		}
		kept <- ok
	}()
	for loading.Err() == nil {
		callCtx, cancel := context.WithTimeout(loading, loadTimeout)
		var err error
		jobs, workers, err = s.Load(callCtx)
		cancel()
		if err == nil || loading.Err() != nil {
			break
		}
		stop() // another host may be better off
		s.lead.storeFailed(s, err)
		if s.Now()-claimedAt > cell.Authority {
			return // another host has claimed it long since, or will
		}
		pause.For(loading, commitRetry)
	}
	stop()
	if !<-kept {
		return
	}
	s.Counts.Claims.Add(1)
	s.Counts.Takeover.Observe(s.Now() - claimedAt)
	s.lead.mu.Lock()
	s.lead.owner, s.lead.own = h.HeadRow, true
	s.lead.confirmedAt = h.sent
	s.lead.members = nil
	s.lead.mu.Unlock()
	s.post(ctx, cell.Claimed{Token: h.Token, Sent: h.sent, Previous: previous, Jobs: jobs, Workers: workers})
	if rules := s.Rules(); rules != nil {
		s.post(ctx, rules.Policy())
	}
	s.post(ctx, cell.Members{Hosts: []string{s.Name}})
}

// holdHead rewrites the head until holding ends, as other hosts claim a cell whose
// head stands still, and loading takes the longer the more jobs there are. It
// returns once the version that stands is known, and reports whether the claim does.
// A weak host stands back here too: it begins when stronger ones have had their turn.
func (s *Station) holdHead(ctx, holding context.Context, h *held) bool {
	wait := holdEvery + time.Duration(weakness(s.Cores))*claimStagger
	for known := true; ctx.Err() == nil && s.Now()-h.sent <= cell.Authority; {
		if known && !pause.For(holding, wait) {
			return ctx.Err() == nil
		}
		wait = holdEvery
		sent := s.Now()
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		version, stands, err := s.Write(callCtx, h.Version, h.Head, nil, nil)
		cancel()
		known = err == nil
		switch {
		case err != nil:
			s.lead.storeFailed(s, err)
			pause.For(ctx, commitRetry)
		case stands == nil:
			h.Version, h.sent = version, sent
		case stands.Session == s.Session && stands.Token == h.Token:
			h.Version = stands.Version // an earlier sending took effect
		default:
			s.lead.setOwner(*stands)
			return false
		}
	}
	return false
}

// deposed notes that the claim with the given token is over. A later claim of
// this host stands.
func (s *Station) deposed(ctx context.Context, token uint64, head HeadRow) {
	s.lead.mu.Lock()
	current := s.lead.own && s.lead.owner.Token == token
	if current {
		s.lead.owner, s.lead.own = head, false
	}
	s.lead.mu.Unlock()
	if !current {
		return
	}
	s.Counts.Deposals.Add(1)
	s.post(ctx, cell.Deposed{Reason: "claimed by " + head.Name})
}
