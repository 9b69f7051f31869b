// Package soak runs real entry hosts as separate processes against a simulated
// platform, injects random faults from outside, and checks the guarantees given
// to callers and workers.
//
// # Usage
//
//	go test ./soak                                  a short run, and the seeds that failed before
//	go test ./soak -run Soak -args -seeds 50 -seconds 20
//	go test ./soak -run Soak -args -first 17 -seeds 1
package soak

import (
	"bytes"
	"cmp"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/faultproxy"
	"github.com/cowslipgap/cowslipgap/freeport"
	"github.com/cowslipgap/cowslipgap/platform/platformtest"
)

var (
	seeds   = flag.Int("seeds", 2, "number of seeds to run")
	first   = flag.Uint64("first", 1, "the first seed")
	seconds = flag.Int("seconds", 8, "seconds for which faults are injected, per seed")
	hosts   = flag.Int("hosts", 4, "number of entry hosts")
	workers = flag.Int("workers", 8, "number of workers")
	shrink  = flag.Bool("shrink", true, "workers shrink and grow")
	crashes = flag.Bool("crashes", true, "some tasks crash the workers that start them")
)

// regressions lists the seeds that once failed because of a bug in cowslipgapd, each
// with its cause. Seeds 1, 4 and 7 failed because of bugs in the simulated platform.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{6, "runs that a worker had confirmed after its restart were dropped together with the runs from before the restart"},
	{8, "same cause as seed 6"},
	{401, "calls that were still waiting when the shutdown time of a host ran out were aborted"},
}

const (
	// settleTimeout is the time in which accepted jobs must end after the last
	// fault. It covers leases, a takeover and the work itself.
	settleTimeout = 40 * time.Second
	// maxSubmitAttempts is the number of times that a caller tries to submit a job.
	maxSubmitAttempts = 12
	// cancelInterval is n if a caller cancels every n-th job that it submits, provided
	// that the job was accepted.
	cancelInterval = 9
	// sequenceProbability is the probability that a sequence of faults is injected
	// together with a single fault.
	sequenceProbability = 0.3
	// abortTolerance is how long after the last byte of its request a call may still be
	// aborted by a process that shuts down (loss_slack_ms).
	abortTolerance = 200 * time.Millisecond
	// crashInterval is n if the tasks of every n-th job of the first caller crash their workers.
	crashInterval = 30
	// signalInterval is the time between the signals sent to a process during its
	// shutdown, which takes at least 2.5 s.
	signalInterval = 200 * time.Millisecond
	// timeoutMargin is subtracted from platformtest.CallerTimeout. A call that fails
	// after the remaining time counts as timed out.
	timeoutMargin = 200 * time.Millisecond
)

// binary is the path of the cowslipgapd program.
var binary string

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "cowslipgapd")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/cowslipgapd").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v: %s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// TestSoak runs the seeds given by the flags.
func TestSoak(t *testing.T) {
	for i := range *seeds {
		seed := *first + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSeed(t, seed) })
	}
}

// TestSeedsThatFailedBefore runs the seeds in regressions.
func TestSeedsThatFailedBefore(t *testing.T) {
	for _, r := range regressions {
		t.Run(fmt.Sprint(r.seed), func(t *testing.T) { runSeed(t, r.seed) })
	}
}

// process is an entry host that can be restarted.
type process struct {
	name         string
	settingsPath string // path of the settings file
	frontendAddr string
	storeProxy   *faultproxy.Proxy // between the host and the store
	mu           sync.Mutex        // held while a fault affects the process
	cmd          *exec.Cmd
	logOffset    int          // length of the log when the process was last started
	killedAt     atomic.Int64 // time of the last SIGKILL in Unix nanoseconds
	log          lockedBuffer
}

// lockedBuffer is a bytes.Buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

func (p *process) start() error {
	p.cmd = exec.Command(binary, "serve")
	p.cmd.Env = append(os.Environ(), "COWSLIPGAP_BOOT="+p.settingsPath)
	p.cmd.Stdout, p.cmd.Stderr = &p.log, &p.log
	p.logOffset = len(p.log.String())
	return p.cmd.Start()
}

func (p *process) signal(sig syscall.Signal) {
	if sig == syscall.SIGKILL {
		p.killedAt.Store(time.Now().UnixNano())
	}
	_ = p.cmd.Process.Signal(sig) // it fails if the process has ended by itself
}

func (p *process) signalAndWait(sig syscall.Signal) {
	p.signal(sig)
	_ = p.cmd.Wait() // the error is the exit status
}

var claimPattern = regexp.MustCompile(`"cell claimed".*?"token":(\d+)`)

// lastClaimToken returns the token of the last claim that the process has logged,
// or 0 if there is none.
func (p *process) lastClaimToken() uint64 {
	claims := claimPattern.FindAllStringSubmatch(p.log.String(), -1)
	if len(claims) == 0 {
		return 0
	}
	token, _ := strconv.ParseUint(claims[len(claims)-1][1], 10, 64) // the pattern matches only digits
	return token
}

// cluster is a simulated platform with entry hosts, together with the jobs, violations
// and events of one run.
type cluster struct {
	t             *testing.T
	seed          uint64
	rng           *rand.Rand
	sequenceRNG   *rand.Rand // separate from rng, so that drawing sequences does not change the faults of known seeds
	shrinkRNG     *rand.Rand // also separate
	platform      *platformtest.Platform
	hosts         []*process
	workerProxies []*faultproxy.Proxy // in front of the workers

	mu         sync.Mutex
	accepted   map[string]int  // number of tasks by job ID
	cancelled  map[string]bool // jobs with a cancel request; true if it was confirmed
	guilty     map[string]bool // jobs whose tasks crash their workers
	refused    []string        // IDs of jobs refused at every attempt
	violations []string
	events     []string
}

// reportViolation records a guarantee that was broken for a caller.
func (c *cluster) reportViolation(format string, args ...any) {
	c.logEvent(format, args...)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// logEvent records an event with its time, for the event log of a failed run.
func (c *cluster) logEvent(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

func freePort(t *testing.T) int {
	port, err := freeport.Pick()
	require.NoError(t, err)
	return port
}

// newCluster starts the simulated platform and the entry hosts. Proxies stand
// between each host and the store and in front of each worker.
func newCluster(t *testing.T, seed uint64) *cluster {
	c := &cluster{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 2)), sequenceRNG: rand.New(rand.NewPCG(seed, 3)), shrinkRNG: rand.New(rand.NewPCG(seed, 4)),
		accepted: map[string]int{}, cancelled: map[string]bool{}, guilty: map[string]bool{}}
	c.platform = &platformtest.Platform{Workers: *workers, DelayedStartFraction: 0.02}
	c.platform.ProxyAddr = func(addr string) (string, error) {
		p := &faultproxy.Proxy{Target: addr}
		c.workerProxies = append(c.workerProxies, p)
		err := p.Start()
		return p.Addr(), err
	}
	require.NoError(t, c.platform.Start())
	storeAddr := c.platform.Store.Addr
	for i := range *hosts {
		p := &process{name: fmt.Sprintf("host-%d", i), storeProxy: &faultproxy.Proxy{Target: storeAddr}}
		require.NoError(t, p.storeProxy.Start())
		frontendPort := freePort(t)
		p.frontendAddr = fmt.Sprintf("127.0.0.1:%d", frontendPort)
		p.settingsPath = filepath.Join(t.TempDir(), p.name)
		settings := strings.ReplaceAll(c.platform.Settings(p.name, frontendPort, freePort(t), freePort(t), freePort(t)), storeAddr, p.storeProxy.Addr())
		require.NoError(t, os.WriteFile(p.settingsPath, []byte(settings), 0o600))
		require.NoError(t, p.start())
		c.hosts = append(c.hosts, p)
	}
	t.Cleanup(c.close)
	return c
}

// close kills the hosts and stops the platform. If the test failed, it keeps the
// logs and events in a temporary directory.
func (c *cluster) close() {
	for _, p := range c.hosts {
		p.signalAndWait(syscall.SIGKILL)
		p.storeProxy.Close()
	}
	for _, p := range c.workerProxies {
		p.Close()
	}
	c.platform.Close()
	if c.t.Failed() {
		dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", c.seed))
		if err != nil {
			c.t.Log(err)
			return
		}
		for _, p := range c.hosts {
			_ = os.WriteFile(filepath.Join(dir, p.name+".log"), []byte(p.log.String()), 0o600) // the test has already failed
		}
		_ = os.WriteFile(filepath.Join(dir, "events.txt"), []byte(strings.Join(c.events, "\n")), 0o600)
		c.t.Logf("seed %d: logs and events are kept in %s", c.seed, dir)
	}
}

// runSeed runs callers and injects faults for one seed, then checks the outcomes.
func runSeed(t *testing.T, seed uint64) {
	c := newCluster(t, seed)
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for caller := range 6 {
		wg.Go(func() { c.runCaller(ctx, caller) })
	}
	time.Sleep(1500 * time.Millisecond)
	deadline := time.Now().Add(time.Duration(*seconds) * time.Second)
	var faults sync.WaitGroup
	for time.Now().Before(deadline) {
		fault := c.drawFault()
		faults.Go(fault)
		if c.sequenceRNG.Float64() < sequenceProbability {
			faults.Go(c.drawFaultSequence())
		}
		if *shrink {
			faults.Go(c.drawShrink())
		}
		time.Sleep(time.Duration(100+c.rng.IntN(900)) * time.Millisecond)
	}
	faults.Wait()
	stop()
	wg.Wait()
	c.checkOutcomes()
}

// drawFault draws a random fault and returns a function that injects it. Several
// faults may overlap.
func (c *cluster) drawFault() func() {
	length := time.Duration(200+c.rng.IntN(4000)) * time.Millisecond
	host := c.hosts[c.rng.IntN(len(c.hosts))]
	worker := c.rng.IntN(*workers)
	kind := c.rng.IntN(10)
	storeFault := platformtest.Fault(1 + c.rng.IntN(6))
	proxyFaults := []faultproxy.Fault{{DropReplies: true}, {DropRequests: true}, {Refuse: true}, {Delay: 50 * time.Millisecond}}
	proxyFault := proxyFaults[c.rng.IntN(len(proxyFaults))]
	return func() {
		switch kind {
		case 0, 1:
			c.withHost(host, "killed", func() { host.signalAndWait(syscall.SIGKILL); time.Sleep(length / 8) }, true)
		case 2:
			c.withHost(host, "stopped", func() { c.stopGracefully(host) }, true)
		case 3:
			c.withHost(host, "paused", func() {
				_ = host.cmd.Process.Signal(syscall.SIGSTOP) // the process exists while the lock is held
				time.Sleep(length)
				_ = host.cmd.Process.Signal(syscall.SIGCONT)
			}, false)
		case 4:
			c.logEvent("store: fault %d for %v", storeFault, length)
			c.platform.Store.SetFault(storeFault)
			time.Sleep(length)
			c.platform.Store.SetFault(platformtest.NoFault)
			c.logEvent("store: fault ended")
		case 5:
			c.logEvent("connection of %s to the store: %+v for %v", host.name, proxyFault, length)
			host.storeProxy.SetFault(proxyFault)
			host.storeProxy.ResetConnections()
			time.Sleep(length)
			host.storeProxy.SetFault(faultproxy.Fault{})
			host.storeProxy.ResetConnections()
		case 6:
			c.logEvent("worker %d restarts", worker)
			c.platform.Worker(worker).Restart()
		case 7:
			c.logEvent("worker %d unresponsive for %v", worker, 2*length)
			c.platform.Worker(worker).SetUnresponsive(true)
			time.Sleep(2 * length)
			c.platform.Worker(worker).SetUnresponsive(false)
		case 8:
			c.logEvent("connections to worker %d: %+v for %v", worker, proxyFault, length)
			c.workerProxies[worker].SetFault(proxyFault)
			time.Sleep(length)
			c.workerProxies[worker].SetFault(faultproxy.Fault{})
			c.workerProxies[worker].ResetConnections()
		case 9:
			c.logEvent("store: change history dropped")
			c.platform.Store.DropHistory()
		}
	}
}

// drawShrink draws a worker that shrinks for a while, and returns a function that shrinks it.
func (c *cluster) drawShrink() func() {
	worker, cpu := c.shrinkRNG.IntN(*workers), c.shrinkRNG.Int64N(platformtest.WorkerCPU)
	length := time.Duration(200+c.shrinkRNG.IntN(6000)) * time.Millisecond
	return func() {
		c.logEvent("worker %d shrinks to %d thousandths of a processor for %v", worker, cpu, length)
		c.platform.Worker(worker).Resize(cpu)
		time.Sleep(length)
		c.platform.Worker(worker).Resize(platformtest.WorkerCPU)
	}
}

// drawFaultSequence draws a sequence of faults that overlap or follow each other
// closely, and returns a function that injects it.
func (c *cluster) drawFaultSequence() func() {
	host, secondHost := c.hosts[c.sequenceRNG.IntN(len(c.hosts))], c.hosts[c.sequenceRNG.IntN(len(c.hosts))]
	worker := c.sequenceRNG.IntN(*workers)
	kind := c.sequenceRNG.IntN(7)
	shortDelay := time.Duration(c.sequenceRNG.IntN(300)) * time.Millisecond
	longDelay := time.Duration(300+c.sequenceRNG.IntN(2500)) * time.Millisecond
	storeFault := platformtest.Fault(1 + c.sequenceRNG.IntN(6))
	return func() {
		switch kind {
		case 0:
			c.withHost(host, "killed, then stopped during its start", func() {
				host.signalAndWait(syscall.SIGKILL)
				c.restart(host)
				time.Sleep(shortDelay)
				host.signalAndWait(syscall.SIGTERM)
			}, true)
		case 1:
			c.withHost(host, "stopped, SIGHUP and SIGTERM during its shutdown", func() {
				c.stopGracefully(host, syscall.SIGHUP, syscall.SIGTERM)
			}, true)
		case 2:
			c.withHost(host, "stopped, killed during its shutdown", func() {
				host.signal(syscall.SIGTERM)
				time.Sleep(longDelay)
				host.signalAndWait(syscall.SIGKILL)
			}, true)
		case 3:
			owner := slices.MaxFunc(c.hosts, func(a, b *process) int { return cmp.Compare(a.lastClaimToken(), b.lastClaimToken()) })
			c.logEvent("store: fault %d for more than %v", storeFault, longDelay)
			c.platform.Store.SetFault(storeFault)
			time.Sleep(shortDelay)
			c.withHost(owner, "paused as the owner", func() {
				owner.signal(syscall.SIGSTOP)
				time.Sleep(longDelay)
				owner.signal(syscall.SIGCONT)
			}, false)
			time.Sleep(shortDelay)
			c.platform.Store.SetFault(platformtest.NoFault)
			c.logEvent("store: fault ended")
		case 4:
			var kills sync.WaitGroup
			for _, p := range c.hosts {
				kills.Go(func() { c.withHost(p, "killed with all hosts", func() { p.signalAndWait(syscall.SIGKILL) }, true) })
			}
			kills.Wait()
		case 5:
			var stops sync.WaitGroup
			stops.Go(func() { c.withHost(host, "stopped", func() { c.stopGracefully(host, syscall.SIGHUP) }, true) })
			time.Sleep(shortDelay)
			stops.Go(func() { c.withHost(secondHost, "stopped as well", func() { c.stopGracefully(secondHost) }, true) })
			for _, p := range c.hosts {
				c.withHost(p, "receives SIGHUP", func() { p.signal(syscall.SIGHUP) }, false)
			}
			stops.Wait()
		case 6:
			c.logEvent("configuration changed twice, worker %d drains", worker)
			c.platform.Configure(platformtest.APIKey, "another-key")
			c.platform.Worker(worker).SetDraining(true)
			time.Sleep(longDelay)
			c.platform.Configure(platformtest.APIKey)
			c.platform.Worker(worker).Restart()
			c.platform.Worker(worker).SetDraining(false)
		}
	}
}

// stopGracefully sends SIGTERM to a process, then the extra signals during its
// shutdown. The process must exit without an error and within platformtest.Grace,
// unless it was stopped before it had started.
func (c *cluster) stopGracefully(p *process, extraSignals ...syscall.Signal) {
	started := strings.Contains(p.log.String()[p.logOffset:], `"msg":"started"`)
	signalledAt := time.Now()
	p.signal(syscall.SIGTERM)
	for _, sig := range extraSignals {
		time.Sleep(signalInterval)
		p.signal(sig)
	}
	err := p.cmd.Wait()
	if took := time.Since(signalledAt); started && (err != nil || took > platformtest.Grace) {
		c.reportViolation("%s did not shut down as required: %v, after %v", p.name, err, took)
	}
}

func (c *cluster) restart(p *process) {
	if err := p.start(); err != nil {
		c.logEvent("%s failed to start: %v", p.name, err)
	}
}

// withHost locks the process, runs action and starts the process again if restart
// is set.
func (c *cluster) withHost(p *process, event string, action func(), restart bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.logEvent("%s %s", p.name, event)
	action()
	if restart {
		c.restart(p)
	}
	c.logEvent("%s is running", p.name)
}

// runCaller submits jobs one after the other over keep-alive connections until
// ctx is done.
func (c *cluster) runCaller(ctx context.Context, caller int) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := &http.Client{Timeout: platformtest.CallerTimeout, Transport: transport}
	rng := rand.New(rand.NewPCG(c.seed, uint64(100+caller)))
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%04x%012x", caller+1, n)
		tasks, ms := 1+rng.IntN(3), 100+rng.IntN(700)
		queue := platformtest.QueueHost
		if n%3 == 0 {
			queue = platformtest.AdvisedQueueHost
		}
		c.platform.ExpectJob(id, tasks, 1000)
		if *crashes && caller == 0 && n%crashInterval == crashInterval/2 {
			c.logEvent("%s crashes its workers", id)
			c.platform.ExpectCrashes(id)
			c.mu.Lock()
			c.guilty[id] = true
			c.mu.Unlock()
		}
		if c.submitJob(client, rng, id, queue, tasks, ms) {
			c.queryOrCancel(client, rng, id, queue, n%cancelInterval == 0)
		}
		time.Sleep(time.Duration(rng.IntN(120)) * time.Millisecond)
	}
}

// callRandomHost sends a call to a random host. It reports a violation if the call
// ends without a response later than abortTolerance and before its timeout, unless the
// host was killed after the call was sent.
func (c *cluster) callRandomHost(client *http.Client, rng *rand.Rand, method, queue, id, body string) (int, string) {
	host := c.hosts[rng.IntN(len(c.hosts))]
	sentAt := time.Now()
	status, respBody := platformtest.Call(client, method, host.frontendAddr, queue, id, body)
	took := time.Since(sentAt)
	if status == 0 && took > abortTolerance && took < platformtest.CallerTimeout-timeoutMargin && host.killedAt.Load() < sentAt.UnixNano() {
		c.reportViolation("LOST: %s %s was aborted by %s after %v", method, id, host.name, took)
	}
	return status, respBody
}

// queryOrCancel reads the state of an accepted job or cancels the job.
func (c *cluster) queryOrCancel(client *http.Client, rng *rand.Rand, id, queue string, cancel bool) {
	method := http.MethodGet
	if cancel {
		method = http.MethodDelete
	}
	switch status, _ := c.callRandomHost(client, rng, method, queue, id, ""); {
	case status == http.StatusGone:
		c.reportViolation("LOST: %s %s: the job was accepted but is unknown", method, id)
	case cancel:
		c.mu.Lock()
		c.cancelled[id] = status == http.StatusOK
		c.mu.Unlock()
	}
}

// submitJob submits a job and reports whether it was accepted. If every attempt
// was refused, the job must never run.
func (c *cluster) submitJob(client *http.Client, rng *rand.Rand, id, queue string, tasks, ms int) bool {
	body := fmt.Sprintf(`{"spec":"%d","steps":[{"count":%d,"cpu":1000,"estimate_ms":%d}]}`, ms, tasks, ms)
	onlyRefused := true
	for range maxSubmitAttempts {
		status, _ := c.callRandomHost(client, rng, http.MethodPost, queue, id, body)
		switch status {
		case http.StatusOK:
			c.mu.Lock()
			c.accepted[id] = tasks
			c.mu.Unlock()
			return true
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		default:
			onlyRefused = false
		}
		time.Sleep(time.Duration(100+rng.IntN(200)) * time.Millisecond)
	}
	if onlyRefused {
		c.mu.Lock()
		c.refused = append(c.refused, id)
		c.mu.Unlock()
	}
	return false
}

// checkOutcomes polls every accepted job until it is completed or canceled. It
// checks that all tasks of completed jobs ran, that refused jobs did not run and
// that no guarantee was broken.
func (c *cluster) checkOutcomes() {
	client := &http.Client{Timeout: platformtest.CallerTimeout}
	deadline := time.Now().Add(settleTimeout)
	for id, tasks := range c.accepted {
		state := ""
		cancelConfirmed, cancelRequested := c.cancelled[id]
		for i := 0; time.Now().Before(deadline); i++ {
			status, body := platformtest.Call(client, http.MethodGet, c.hosts[i%len(c.hosts)].frontendAddr, platformtest.QueueHost, id, "")
			state = body
			if strings.Contains(body, "completed") || cancelRequested && strings.Contains(body, "canceled") {
				break
			}
			require.NotEqual(c.t, http.StatusGone, status, "LOST: %s was accepted but is unknown", id)
			if c.guilty[id] && status == http.StatusOK {
				break // the platform counts its starts
			}
			time.Sleep(30 * time.Millisecond)
		}
		if cancelRequested {
			require.NotEmpty(c.t, state, "LOST: %s was accepted but has no state", id)
			require.False(c.t, cancelConfirmed && !strings.Contains(state, "canceled") && !strings.Contains(state, "completed"), "UNASKED: %s was cancelled but is %s", id, state)
			if strings.Contains(state, "canceled") {
				continue
			}
		}
		if c.guilty[id] {
			require.NotContains(c.t, state, "completed", "MIXED: %s crashes its workers", id)
			continue
		}
		require.Contains(c.t, state, "completed", "LOST: %s was accepted but did not complete", id)
		require.Equal(c.t, tasks, c.platform.CompletedTasks(id), "MIXED: %s has the wrong number of completed tasks", id)
	}
	for _, id := range c.refused {
		require.False(c.t, c.platform.Started(id), "REFUSED: %s was refused but ran", id)
	}
	require.Empty(c.t, c.violations)
	require.Empty(c.t, c.platform.Violations())
	c.t.Logf("seed %d: %d jobs accepted, %d of them cancelled, %d refused, %d events", c.seed, len(c.accepted), len(c.cancelled), len(c.refused), len(c.events))
}
