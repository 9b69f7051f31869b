package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cowslipgap/cowslipgap/freeport"
)

const (
	queueHost = "queue.example"
	prefix    = "/jobs/"
	apiKey    = "6x73d3zji9n73hh2b9wu"
)

// stepDef is a step of a job, as a client sends it.
type stepDef struct {
	Count         int           `json:"count"`
	CPU           int64         `json:"cpu"`
	MemMB         int64         `json:"mem_mb"`
	EstimateMS    float64       `json:"estimate_ms"`
	After         []int         `json:"after,omitempty"`
	Checkpointing bool          `json:"checkpointing,omitempty"`
	Gang          bool          `json:"gang,omitempty"`
	Requirements  string        `json:"requirements,omitempty"`
	AntiAffinity  int           `json:"anti_affinity,omitempty"`
	Speculative   bool          `json:"speculative,omitempty"`
	LongRunning   bool          `json:"long_running,omitempty"`
	BestEffortOK  int           `json:"best_effort_ok,omitempty"`
	Work          time.Duration `json:"-"`
}

// job is a job that a client sends.
type job struct {
	w        *world
	id       string
	queue    string // host of its queue
	spec     string
	steps    []stepDef
	repeat   int
	startAt  int64
	interval int64
	poison   bool

	accepted    time.Time
	codes       []string
	started     bool
	cancelSent  time.Time
	cancelAcked time.Time
	states      []*stepState // of all occurrences
	lastState   string
}

type stepState struct {
	job        *job
	occ, index int
	def        *stepDef
	tasks      []*taskState
	saved      map[string]time.Duration
	gangDone   []*doneEnd
	gangFailed map[uint64]bool // runs of a gang that ended as failed
	notedFails map[uint64]bool
}

type taskState struct {
	step       *stepState
	occ, index int
	name       string
	saved      map[string]time.Duration
	done       []*doneEnd
	noted      bool
	allFailed  map[uint64]bool
	notedFails map[uint64]bool
	lastStart  time.Time
}

func (s *stepState) name(occ int) string { return fmt.Sprintf("%s.%d.%d", s.job.id, occ, s.index) }

func (t *taskState) work() time.Duration { return t.step.def.Work }

func (t *taskState) checkpoints() map[string]time.Duration {
	if t.step.def.Gang {
		return t.step.saved
	}
	return t.saved
}

func (t *taskState) dones() []*doneEnd {
	if t.step.def.Gang {
		return t.step.gangDone
	}
	return t.done
}

func (t *taskState) addDone(d *doneEnd) {
	t.done = append(t.done, d)
	t.step.gangDone = append(t.step.gangDone, d)
}

func (t *taskState) failed() map[uint64]bool {
	if t.step.def.Gang {
		return t.step.notedFails
	}
	return t.notedFails
}

// left returns how many tasks have not ended as done.
func (s *stepState) left() int {
	n := 0
	for _, t := range s.tasks {
		if len(t.dones()) == 0 {
			n++
		}
	}
	return n
}

func (j *job) stepOf(occ, index int) *stepState { return j.states[occ*len(j.steps)+index] }

// world holds the stand-ins, the entry hosts and what was seen.
type world struct {
	mu         sync.Mutex
	store      *store
	workers    []*worker
	hosts      []*host
	jobs       map[string]*job
	gangs      map[string]*gangRun
	violations []string
	record     *os.File
	dir        string
	t0         time.Time
	advice     string
	latePick   func(k *worker, path string, o *order) bool
	holdStart  func(k *worker, o *order) bool // whether a start is held up on its way
	settings   map[string]string
	queueExtra map[string]any
	advised    bool
	eligible   func(step, worker string) bool
	version    int
	stopTime   time.Duration // that a stop takes, within bounds.stop_timeout_ms
	holdMax    time.Duration // bounds.hold_max_ms
	closers    []func()
	closed     atomic.Bool // no process is started any more
	stopBeats  chan struct{}
	recMu      sync.Mutex
}

func newWorld(record string) *world {
	w := &world{store: newStore(), jobs: map[string]*job{}, gangs: map[string]*gangRun{}, t0: time.Now(), settings: map[string]string{}, stopBeats: make(chan struct{}), stopTime: 150 * time.Millisecond, holdMax: 6 * time.Second}
	dir, err := os.MkdirTemp("", "review3-")
	check(err)
	w.dir = dir
	w.record, err = os.Create(record)
	check(err)
	return w
}

func check(err error) {
	if err != nil {
		panic(setupError{err})
	}
}

// setupError is a failure of the stand-ins, not of the programs.
type setupError struct{ error }

// logf writes a line to the record.
func (w *world) logf(format string, args ...any) {
	w.recMu.Lock()
	defer w.recMu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.t0).Seconds(), fmt.Sprintf(format, args...))
}

// violate records that a rule was broken. The caller holds the lock.
func (w *world) violate(rule, format string, args ...any) {
	text := fmt.Sprintf("%s: %s", rule, fmt.Sprintf(format, args...))
	w.logf("BROKEN %s", text)
	w.violations = append(w.violations, text)
}

func (w *world) task(name string) *taskState {
	parts := strings.Split(name, ".")
	if len(parts) != 4 || w.jobs[parts[0]] == nil {
		return nil
	}
	j := w.jobs[parts[0]]
	occ, _ := strconv.Atoi(parts[1])
	step, _ := strconv.Atoi(parts[2])
	index, _ := strconv.Atoi(parts[3])
	if occ >= max(1, j.repeat) || step >= len(j.steps) || index >= j.steps[step].Count {
		return nil
	}
	return j.stepOf(occ, step).tasks[index]
}

// configure writes the operator's configuration.
func (w *world) configure() {
	w.version += 3
	route := map[string]any{"name": "r-cpihhac", "host": queueHost, "path_prefix": prefix, "kind": "non_idempotent", "timeout_ms": 3000,
		"target_latency_ms": 1000, "priority": 1, "service": "svc", "max_attempts": 3, "slack_factor": 4.0, "anonymous": false}
	for name, v := range w.queueExtra {
		route[name] = v
	}
	advised := map[string]any{}
	for name, v := range route {
		advised[name] = v
	}
	advised["name"], advised["host"] = "r-ruddede", "advised.example"
	advised["advice"] = map[string]any{"decision_ms": 42.0, "period_ms": 0.6, "validity_ms": 1500}
	v, err := json.Marshal(map[string]any{
		"version": w.version, "routes": []any{route, advised},
		"services": []any{map[string]any{"name": "svc", "health_path": "/healthz", "max_conns": 64, "admission_check": false, "standby": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "kaje80", "api_keys": []string{apiKey}, "weight": 1000, "ceiling": map[string]any{"cpu": 0, "mem_mb": 0, "gpu": 0}}},
	})
	check(err)
	w.store.put("op", "config", v)
}

func (w *world) serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	w.closers = append(w.closers, func() { _ = s.Close() })
	return l.Addr().String()
}

// startPlatform starts the store, the advice service and the workers.
func (w *world) startPlatform(workers, perRack int, cpu int64) {
	w.advice = w.serve(http.HandlerFunc(w.advise))
	w.configure()
	for i := range workers {
		k := &worker{w: w, index: i, name: fmt.Sprintf("i-%08x", 0x7f3a91c2+i*7919), zone: fmt.Sprintf("hoi-an-%c", 'a'+i%3), cpu: cpu}
		k.labels = []string{"a", fmt.Sprintf("r1-%d", i/perRack)}
		k.reset()
		check(k.listen(fmt.Sprintf("127.0.0.1:%d", freePorts(1)[0])))
		w.workers = append(w.workers, k)
		k.beat()
	}
	go func() {
		for {
			select {
			case <-w.stopBeats:
				return
			case <-time.After(heartbeat):
			}
			for _, k := range w.workers {
				k.beat()
			}
		}
	}()
}

func (w *world) advise(rw http.ResponseWriter, r *http.Request) {
	var in struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(42*time.Millisecond + time.Duration(len(in.Workers))*600*time.Microsecond)
	eligible := [][]string{}
	for _, id := range in.Workers {
		if w.eligible == nil || w.eligible(in.Step, id) {
			eligible = append(eligible, []string{id, "c81e-" + id})
		}
	}
	writeJSON(rw, http.StatusOK, map[string]any{"eligible": eligible, "validity_ms": 1500})
}

// host is an entry host.
type host struct {
	w        *world
	name     string
	front    string
	ready    string
	settings string
	mu       sync.Mutex
	cmd      *exec.Cmd
	log      *os.File
}

func freePorts(n int) []int {
	var ports []int
	for range n {
		port, err := freeport.Pick()
		check(err)
		ports = append(ports, port)
	}
	return ports
}

// addHosts starts entry hosts.
func (w *world) addHosts(n int) {
	for range n {
		i := len(w.hosts)
		p := freePorts(4)
		h := &host{w: w, name: fmt.Sprintf("edge-hoi-an-%c-%d", 'a'+i%3, i/3+1)}
		h.front, h.ready = fmt.Sprintf("127.0.0.1:%d", p[0]), fmt.Sprintf("127.0.0.1:%d", p[1])
		addr := w.serve(w.store.handler(h.name))
		s := map[string]string{
			"node_name": h.name, "role": "entry", "machine_class": "edge", "serves": "edge", "ip": "127.0.0.1",
			"zone": fmt.Sprintf("hoi-an-%c", 'a'+i%3), "region": "hoi-an", "zones.hoi-an-a": "hoi-an", "zones.hoi-an-b": "hoi-an", "zones.hoi-an-c": "hoi-an",
			"listen_addrs.frontend": h.front, "listen_addrs.readiness": h.ready, "port_range": fmt.Sprintf("%d,%d", p[2], p[2]), "metrics_port": strconv.Itoa(p[3]),
			"bootstrap": "true", "limits.cpu_share": "0.4", "limits.cores": "1", "limits.memory_mb": "284", "limits.max_fds": "4200", "limits.link_mbps": "1000.0",
			"discovery": "platform", "entry": "vip", "heartbeat_ms": "1500", "contracts": "base,drain,config,cost,recover,sched,tenants,quota,platform,advice,upkeep,sharing",
			"fault_tolerance.machines": "2", "fault_tolerance.zones": "1", "bounds.contact_ms": "3000", "bounds.ack_ms": "4000", "bounds.drain_ms": "2000",
			"bounds.grace_s": "6", "bounds.config_apply_ms": "2000", "bounds.hold_max_ms": "6000", "bounds.stop_timeout_ms": "200", "bounds.gang_timeout_ms": "3000",
			"bounds.cancel_ms": "3000", "bounds.status_s": "120", "bounds.checkpoint_s": "1", "bounds.restore_ms": "250", "commands": "invocation",
			"advice": w.advice, "platform.address": addr, "platform.form": "table", "platform.writes_per_s": "600", "platform.reads_per_s": "2000",
			"platform.txn_ms": "4.0", "platform.partition_writes_s": "250", "platform.row_bytes": "65536", "platform.history_s": "20",
		}
		for k, v := range w.settings {
			s[k] = v
		}
		text := ""
		for k, v := range s {
			text += k + "=" + v + "\n"
		}
		h.settings = filepath.Join(w.dir, h.name+".conf")
		check(os.WriteFile(h.settings, []byte(text), 0o600))
		var err error
		h.log, err = os.Create(filepath.Join(w.dir, h.name+".log"))
		check(err)
		w.hosts = append(w.hosts, h)
		h.startProcess()
	}
}

func (h *host) startProcess() {
	h.mu.Lock()
	defer h.mu.Unlock()
	cmd := exec.Command(binary(), "serve")
	cmd.Env = []string{"COWSLIPGAP_BOOT=" + h.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + h.w.dir, "LANG=C"}
	cmd.Stdout, cmd.Stderr = h.log, h.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if h.w.closed.Load() {
		return // the scenario has ended
	}
	done := make(chan error)
	starts <- func() { done <- cmd.Start() }
	check(<-done)
	h.cmd = cmd
}

// starts runs what starts processes on one thread, which lives as long as this process: they end
// with the thread that has started them.
var starts = func() chan<- func() {
	c := make(chan func())
	go func() {
		runtime.LockOSThread()
		for start := range c {
			start()
		}
	}()
	return c
}()

func binary() string {
	if b := os.Getenv("COWSLIPGAPD"); b != "" {
		return b
	}
	return "target/cowslipgapd"
}

// kill ends the process, and starts it again after the given time unless that is 0.
func (h *host) kill(sig syscall.Signal, again time.Duration) {
	h.mu.Lock()
	cmd := h.cmd
	h.w.logf("%v to %s", sig, h.name)
	_ = cmd.Process.Signal(sig)
	h.mu.Unlock()
	_ = cmd.Wait()
	h.w.logf("%s has ended", h.name)
	if again > 0 {
		time.Sleep(again)
		h.startProcess()
		h.w.logf("%s starts again", h.name)
	}
}

func (h *host) freeze(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.w.logf("%s freezes for %v", h.name, d)
	_ = h.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	_ = h.cmd.Process.Signal(syscall.SIGCONT)
	h.w.logf("%s wakes", h.name)
}

// owner returns the host that the head row in the store names, or nil.
func (w *world) owner() *host {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	for id, r := range w.store.rows {
		if !strings.HasSuffix(id.table, "-cell") {
			continue
		}
		for _, h := range w.hosts {
			if bytes.Contains(r.Value, []byte(h.name)) {
				return h
			}
		}
	}
	return nil
}

// waitReady waits until all hosts are ready.
func (w *world) waitReady() {
	deadline := time.Now().Add(15 * time.Second)
	for _, h := range w.hosts {
		for {
			resp, err := http.Get("http://" + h.ready + "/-/readiness")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == 200 {
					break
				}
			}
			if time.Now().After(deadline) {
				panic(setupError{fmt.Errorf("%s is not ready", h.name)})
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (w *world) close() {
	close(w.stopBeats)
	w.closed.Store(true)
	for _, h := range w.hosts {
		h.mu.Lock()
		_ = h.cmd.Process.Signal(syscall.SIGCONT)
		_ = h.cmd.Process.Kill()
		h.mu.Unlock()
		_ = h.cmd.Wait()
	}
	for _, c := range w.closers {
		c()
	}
	w.mu.Lock()
	for _, k := range w.workers {
		if k.server != nil {
			_ = k.server.Close()
		}
	}
	w.mu.Unlock()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept", w.dir)
	}
	_ = w.record.Close()
}

// newJob prepares a job.
func (w *world) newJob(steps []stepDef) *job {
	j := &job{w: w, id: fmt.Sprintf("%016x", rand.Uint64()), queue: queueHost, steps: steps}
	j.spec = "spec of " + j.id
	return j
}

func (w *world) register(j *job) {
	for occ := range max(1, j.repeat) {
		for i := range j.steps {
			s := &stepState{job: j, occ: occ, index: i, def: &j.steps[i], saved: map[string]time.Duration{}, gangFailed: map[uint64]bool{}, notedFails: map[uint64]bool{}}
			for n := range j.steps[i].Count {
				s.tasks = append(s.tasks, &taskState{step: s, occ: occ, index: n, name: fmt.Sprintf("%s.%d.%d.%d", j.id, occ, i, n),
					saved: map[string]time.Duration{}, allFailed: map[uint64]bool{}, notedFails: map[uint64]bool{}})
			}
			j.states = append(j.states, s)
		}
	}
	w.mu.Lock()
	w.jobs[j.id] = j
	w.mu.Unlock()
}

// call makes one call of a client to a host. Status 0 is no answer.
func (w *world) call(h *host, method, queue, path string, body []byte, deadline time.Duration) (int, http.Header, []byte) {
	req, err := http.NewRequest(method, "http://"+h.front+path, bytes.NewReader(body))
	check(err)
	req.Host = queue
	req.Header.Set("Authorization", "Token "+apiKey)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	req.Header.Set("Content-Type", "application/json")
	c := http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		return 0, nil, nil
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, nil
	}
	return resp.StatusCode, resp.Header, data
}

// submit hands a job in, with some attempts at different hosts.
func (w *world) submit(j *job, attempts int) bool {
	if j.states == nil {
		w.register(j)
	}
	body := map[string]any{"spec": j.spec, "steps": j.steps}
	if j.repeat > 0 {
		body["repeat_count"], body["start_at_ms"], body["interval_ms"] = j.repeat, j.startAt, j.interval
	}
	data, err := json.Marshal(body)
	check(err)
	at := rand.IntN(len(w.hosts))
	for range attempts {
		h := w.hosts[at%len(w.hosts)]
		at++
		code, header, _ := w.call(h, "POST", j.queue, prefix+j.id, data, 3*time.Second)
		w.logf("POST %s at %s: %d", j.id, h.name, code)
		w.mu.Lock()
		j.codes = append(j.codes, strconv.Itoa(code))
		if code/100 == 2 && j.accepted.IsZero() {
			j.accepted = time.Now()
		}
		w.mu.Unlock()
		switch {
		case code/100 == 2:
			return true
		case code == 429 || code == 503:
			n, _ := strconv.Atoi(header.Get("Retry-After"))
			time.Sleep(min(3*time.Second, time.Duration(n)*time.Second))
		default:
			time.Sleep(200 * time.Millisecond)
		}
	}
	return false
}

// state asks for the state of a job: a state, "gone", or "" without an answer.
func (w *world) state(j *job, h *host) string {
	code, _, body := w.call(h, "GET", j.queue, prefix+j.id, nil, 3*time.Second)
	var out struct {
		State  string `json:"state"`
		Reason string `json:"reason"`
	}
	switch {
	case code == 410:
		out.State = "gone"
	case code == 200:
		_ = json.Unmarshal(body, &out)
	}
	if out.State != j.lastState || out.State == "" {
		w.logf("GET %s at %s: %d %s %s", j.id, h.name, code, out.State, out.Reason)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	j.lastState = out.State
	if out.State == "completed" {
		for _, s := range j.states {
			if n := s.left(); n > 0 {
				w.violate("MIXED", "%s is shown as completed while %d tasks of step %d (occurrence %d) have not ended so", j.id, n, s.index, s.occ)
				break
			}
		}
	}
	return out.State
}

func (w *world) cancel(j *job, attempts int) bool {
	w.mu.Lock()
	j.cancelSent = time.Now()
	w.mu.Unlock()
	for range attempts {
		h := w.hosts[rand.IntN(len(w.hosts))]
		code, _, _ := w.call(h, "DELETE", j.queue, prefix+j.id, nil, 3*time.Second)
		w.logf("DELETE %s at %s: %d", j.id, h.name, code)
		if code/100 == 2 || code == 410 {
			w.mu.Lock()
			if j.cancelAcked.IsZero() {
				j.cancelAcked = time.Now()
			}
			w.mu.Unlock()
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// failCause reports whether a task of the job, or a gang, has failed as often as it may.
func (j *job) failCause() bool {
	for _, s := range j.states {
		if s.def.Gang && len(s.gangFailed) >= 3 {
			return true
		}
		for _, t := range s.tasks {
			if len(t.allFailed) >= 3 {
				return true
			}
		}
	}
	return false
}
