package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is a small deployment: the stand-ins, and the entry hosts as processes.
type world struct {
	mu      sync.Mutex
	out     *os.File
	begun   time.Time
	quiet   bool // records no start and no end of single tasks
	store   *store
	workers []*worker
	hosts   []*host
	dir     string
	ip      string // loopback address of everything in this deployment

	active    map[string][]*worker // by task
	done      map[string]*doneEnd
	starts    map[string]int       // by job
	startedAt map[string]time.Time // first start of a task
	twice     []string
	complete  map[string]bool // jobs that were shown as completed
	quit      chan struct{}
	quitting  bool
}

// doneEnd is the end `done` of a task.
type doneEnd struct {
	task   string
	where  string
	number uint64
	noted  bool // an ack_cursor has reached it
	lapsed bool // the worker's lease lapsed before
	again  int  // later starts of the task
}

// host is an entry host.
type host struct {
	w                *world
	name, zone       string
	front, ready     int
	boot, logPath    string
	cmd              *exec.Cmd
	ended            chan struct{}
	killed           bool // by the test
	exits            int  // by itself
	peak             int  // resident memory, MB
	peer, ctl, metrs int
}

func newWorld(recordPath string, hosts, workers int) (*world, error) {
	out, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{out: out, ip: fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250), 1+rand.IntN(250)), begun: time.Now(), dir: dir, active: map[string][]*worker{}, done: map[string]*doneEnd{}, starts: map[string]int{}, startedAt: map[string]time.Time{}, complete: map[string]bool{}, quit: make(chan struct{})}
	w.store = newStore(w)
	storeAddr, err := w.serve(w.store)
	if err != nil {
		return nil, err
	}
	for i := range workers {
		k := newWorker(w, i)
		if k.addr, err = w.serve(k); err != nil {
			return nil, err
		}
		w.workers = append(w.workers, k)
		k.beat()
		go func() {
			for {
				select {
				case <-time.After(heartbeat):
					k.beat()
				case <-w.quit:
					return
				}
			}
		}()
	}
	w.configure()
	ports, err := w.freePorts(5 * hosts)
	if err != nil {
		return nil, err
	}
	for i := range hosts {
		h := &host{w: w, name: fmt.Sprintf("edge-%c-1", 'a'+i%3), zone: fmt.Sprintf("zone-%c", 'a'+i%3)}
		h.front, h.ready, h.peer, h.ctl, h.metrs = ports[5*i], ports[5*i+1], ports[5*i+2], ports[5*i+3], ports[5*i+4]
		w.hosts = append(w.hosts, h)
	}
	for _, h := range w.hosts {
		h.boot, h.logPath = filepath.Join(dir, h.name+".conf"), filepath.Join(dir, h.name+".log")
		if err := os.WriteFile(h.boot, []byte(h.settings(storeAddr)), 0o600); err != nil {
			return nil, err
		}
		if err := h.start(); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func (w *world) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", w.ip+":0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.Serve(l) }() // until the process ends
	return l.Addr().String(), nil
}

// freePorts returns ports that are free on the deployment's address.
func (w *world) freePorts(n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", w.ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }() // kept until all are chosen
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

func (w *world) configure() {
	type object = map[string]any
	routes := []object{}
	for i, name := range []string{"quotes", "checks"} {
		routes = append(routes, object{"name": "r-" + name, "host": name + ".example", "path_prefix": "/jobs/", "kind": "non_idempotent", "timeout_ms": 3000,
			"target_latency_ms": 30000, "priority": i + 1, "service": "svc", "max_attempts": 3, "slack_factor": 20.0, "anonymous": false})
	}
	w.store.putOwn("op", "config", object{
		"version": 7, "routes": routes, "services": []object{{"name": "svc", "admission_check": false, "health_path": "/healthz", "standby": false}}, "limits": object{},
		"tenants": []object{
			{"name": "large", "api_keys": []string{"key-large"}, "weight": 100, "ceiling": object{"cpu": 0, "mem_mb": 0, "gpu": 0}},
			{"name": "small", "api_keys": []string{"key-small"}, "weight": 100, "ceiling": object{"cpu": 0, "mem_mb": 0, "gpu": 0}},
		},
	})
}

// settings returns the settings file of a host, with the bounds of a small site.
func (h *host) settings(storeAddr string) string {
	local := func(port int) string { return h.w.ip + ":" + strconv.Itoa(port) }
	var seeds []string
	for _, other := range h.w.hosts {
		seeds = append(seeds, local(other.ctl))
	}
	lines := []string{
		"node_name=" + h.name, "role=entry", "machine_class=edge", "serves=edge", "ip=" + h.w.ip, "zone=" + h.zone, "region=region-1",
		"zones.zone-a=region-1", "zones.zone-b=region-1", "zones.zone-c=region-1",
		"listen_addrs.frontend=" + local(h.front), "listen_addrs.readiness=" + local(h.ready), "listen_addrs.control=" + local(h.ctl),
		fmt.Sprintf("port_range=%d,%d", h.peer, h.peer), fmt.Sprintf("metrics_port=%d", h.metrs), "seeds=" + strings.Join(seeds[:min(3, len(seeds))], ","), "bootstrap=true",
		"limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0",
		"discovery=platform", "entry=vip", "heartbeat_ms=1500",
		"contracts=base,drain,config,cost,recover,sched,tenants,quota,platform,advice,upkeep,sharing",
		"fault_tolerance.machines=2", "fault_tolerance.zones=1", "fault_tolerance.regions=0",
		"bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.drain_ms=2000", "bounds.grace_s=6", "bounds.config_apply_ms=2000", "bounds.recovery_s=12",
		"bounds.hold_max_ms=6000", "bounds.stop_timeout_ms=900", "bounds.gang_timeout_ms=3000", "bounds.cancel_ms=3000", "bounds.visible_ms=3000",
		"bounds.early_ms=250", "bounds.finish_s=14", "bounds.status_s=120", "bounds.remote_factor=2", "bounds.checkpoint_s=2", "bounds.restore_ms=600",
		"commands=invocation", "advice=" + h.w.ip + ":9",
		"platform.address=" + storeAddr, "platform.form=table", "platform.writes_per_s=800", "platform.reads_per_s=2000", "platform.txn_ms=4.0",
		"platform.partition_writes_s=250", fmt.Sprintf("platform.row_bytes=%d", rowBytes), "platform.cross=true", "platform.history_s=20",
	}
	return strings.Join(lines, "\n") + "\n"
}

// restartDelay is how long after its end a process is started again.
const restartDelay = 2 * time.Second

// start starts the process with the command of the deploy file. It is started again
// restartDelay after it has ended.
func (h *host) start() error {
	logFile, err := os.OpenFile(h.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/cowslipgapd", "serve")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.w.dir, "COWSLIPGAP_BOOT=" + h.boot}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.w.mu.Lock()
	h.cmd, h.ended, h.killed = cmd, ended, false
	h.w.mu.Unlock()
	h.w.record("%s starts", h.name)
	go func() {
		err := cmd.Wait()
		_ = logFile.Close()
		h.w.mu.Lock()
		quitting, killed := h.w.quitting, h.killed
		if !quitting && !killed {
			h.exits++
		}
		h.w.mu.Unlock()
		close(ended)
		if quitting {
			return
		}
		if !killed {
			h.w.record("%s ends by itself: %v: %s", h.name, err, h.panicLine())
		}
		time.Sleep(restartDelay)
		h.w.mu.Lock()
		quitting = h.w.quitting
		h.w.mu.Unlock()
		if !quitting {
			if err := h.start(); err != nil {
				h.w.record("%s cannot be started: %v", h.name, err)
			}
		}
	}()
	return nil
}

// panicLine returns the last line of the log that names a panic.
func (h *host) panicLine() string {
	data, err := os.ReadFile(h.logPath)
	if err != nil {
		return err.Error()
	}
	last := "no panic in its log"
	lines := strings.Split(string(data), "\n")
	for i, line := range lines {
		if strings.HasPrefix(line, "panic:") {
			last = line
			for _, next := range lines[i:] {
				if strings.Contains(next, "/cell/") {
					last += " at " + filepath.Base(strings.TrimSpace(next))
				}
				if strings.Count(last, " at ") >= 3 {
					break
				}
			}
		}
	}
	return last
}

func (h *host) kill() {
	h.w.mu.Lock()
	h.killed = true
	cmd := h.cmd
	h.w.mu.Unlock()
	h.w.record("%s gets SIGKILL", h.name)
	_ = cmd.Process.Kill() // it may have ended
}

func (w *world) close() {
	w.mu.Lock()
	w.quitting = true
	hosts := w.hosts
	w.mu.Unlock()
	close(w.quit)
	for _, h := range hosts {
		_ = h.cmd.Process.Kill() // it may have ended
		<-h.ended
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", w.dir)
	}
}

func (w *world) record(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(w.begun).Seconds()) + fmt.Sprintf(format, args...)
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintln(w.out, line)
}

// ready waits until all hosts are ready for clients.
func (w *world) ready() bool {
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, h := range w.hosts {
			if status, _ := w.call("GET", fmt.Sprintf("http://%s:%d/-/readiness", w.ip, h.ready), "", "", nil); status == 200 {
				n++
			}
		}
		if n == len(w.hosts) {
			time.Sleep(2 * time.Second) // the workers are listed and on the roster
			return true
		}
	}
	return false
}

var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 3 * time.Second}

func (w *world) call(method, url, hostName, key string, body any) (int, string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body) // maps and strings
	}
	req, err := http.NewRequest(method, url, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	if hostName != "" {
		req.Host = hostName
		req.Header.Set("Authorization", "Token "+key)
		req.Header.Set("X-Deadline-Ms", "3000")
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	var text bytes.Buffer
	_, _ = text.ReadFrom(resp.Body)
	return resp.StatusCode, strings.TrimSpace(text.String())
}

// ask sends a client's call to one of the hosts, and again to another one if there is no
// answer.
func (w *world) ask(method, queue, key, id string, body any, tries int) (int, string) {
	status, text := 0, ""
	first := rand.IntN(len(w.hosts))
	for n := range tries {
		h := w.hosts[(first+n)%len(w.hosts)]
		status, text = w.call(method, fmt.Sprintf("http://%s:%d/jobs/%s", w.ip, h.front, id), queue+".example", key, body)
		w.record("%s %s of %s at %s: %d %s", method, id, key, h.name, status, text)
		if method == "GET" && text == `{"state":"completed"}` {
			w.mu.Lock()
			w.complete[id] = true
			w.mu.Unlock()
		}
		if status != 0 && status != 502 && status != 503 && status != 504 && status != 429 {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	return status, text
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

func (w *world) runStarted(k *worker, task string, number uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(w.begun).Seconds())
	if !w.quiet {
		_, _ = fmt.Fprintf(w.out, "%s%s run %d starts on %s\n", line, task, number, k.id)
	}
	for _, other := range w.active[task] {
		w.twice = append(w.twice, fmt.Sprintf("%s%s run %d starts on %s beside a run on %s", line, task, number, k.id, other.id))
	}
	if d := w.done[task]; d != nil {
		d.again++
		_, _ = fmt.Fprintf(w.out, "%s%s run %d starts on %s after run %d ended done on %s (taken note of: %v)\n", line, task, number, k.id, d.number, d.where, d.noted)
	}
	w.active[task] = append(w.active[task], k)
	w.starts[jobOf(task)]++
	if w.startedAt[task].IsZero() {
		w.startedAt[task] = time.Now()
	}
}

func (w *world) runEnded(k *worker, task string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, other := range w.active[task] {
		if other == k {
			w.active[task] = append(w.active[task][:i:i], w.active[task][i+1:]...)
			break
		}
	}
}

func (w *world) runDone(k *worker, r *run) *doneEnd {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.quiet {
		_, _ = fmt.Fprintf(w.out, "%8.3f %s run %d ends done on %s\n", time.Since(w.begun).Seconds(), r.task, r.number, k.id)
	}
	if w.done[r.task] != nil {
		return nil // the first one counts
	}
	d := &doneEnd{task: r.task, where: k.id, number: r.number}
	w.done[r.task] = d
	return d
}

func (w *world) noted(d *doneEnd) {
	w.mu.Lock()
	defer w.mu.Unlock()
	d.noted = true
}

func (w *world) lapsed(d *doneEnd) {
	w.mu.Lock()
	defer w.mu.Unlock()
	d.lapsed = d.lapsed || !d.noted
}

// startedAfterDone returns the starts that break the rule TWICE: after an end `done` that was
// taken note of then or later, with no lapse of the lease between.
func (w *world) startedAfterDone() (broken, open int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, d := range w.done {
		switch {
		case d.again > 0 && d.noted && !d.lapsed:
			broken += d.again
		case d.again > 0:
			open += d.again
		}
	}
	return broken, open
}

func (w *world) startsOf(job string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[job]
}

// activeOf returns the tasks of a job that have a run, and where the first of them is.
func (w *world) activeOf(job string) (int, *worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, where := 0, (*worker)(nil)
	for task, list := range w.active {
		if jobOf(task) == job && len(list) > 0 {
			n++
			where = list[0]
		}
	}
	return n, where
}

func step(count int, cpu, memMB, estimateMS int) map[string]any {
	return map[string]any{"count": count, "cpu": cpu, "mem_mb": memMB, "estimate_ms": estimateMS}
}

// after makes a step wait for earlier ones.
func after(s map[string]any, earlier ...int) map[string]any {
	s["after"] = earlier
	return s
}
