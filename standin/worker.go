package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/storage"
)

// maxEndedKept bounds how many outcomes a worker keeps for its owners to read.
const maxEndedKept = 4096

// Work is what a stand-in's task does, read from its payload.
type Work struct {
	WorkMillis int64           `json:"workMillis"`
	Fail       bool            `json:"fail,omitempty"`
	Tag        string          `json:"tag,omitempty"` // under which the ledger counts it as well
	Uses       resource.Vector `json:"uses,omitzero"`
}

// worker imitates one worker and the endpoint on it.
type worker struct {
	name, zone, rack string
	room             resource.Vector
	connections      int
	usageLag         time.Duration
	ledger           *Ledger

	mu       sync.Mutex
	mode     string
	modeAt   time.Time
	prevMode string
	running  map[string]*run
	used     resource.Vector
	ended    []storage.Outcome
	endedSeq uint64        // sequence number of the last outcome
	wake     chan struct{} // closed when an outcome arrives

	listener net.Listener
	server   *http.Server
}

// run is one attempt of a task in progress.
type run struct {
	start  storage.Start
	work   Work
	begun  time.Time
	lapses time.Time
	due    time.Time   // when it is done
	timer  *time.Timer // that fires then
	listed bool        // its outcome goes into reports, not into a reply
	stop   chan string // how to end it early
}

func (w *worker) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrapf(err, "standin: listen for worker %s", w.name)
	}
	w.listener = listener
	w.running = map[string]*run{}
	w.wake = make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /endpoint", w.serveEndpoint)
	mux.HandleFunc("POST /start", w.serveStart)
	mux.HandleFunc("POST /renew", w.serveRenew)
	mux.HandleFunc("POST /stop", w.serveStop)
	mux.HandleFunc("POST /throttle", w.serveThrottle)
	w.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		_ = w.server.Serve(&limitListener{Listener: listener, room: make(chan struct{}, w.connections)})
	}()
	return nil
}

func (w *worker) close() {
	if w.server != nil {
		_ = w.server.Close()
	}
}

func (w *worker) setMode(mode string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.prevMode, w.mode, w.modeAt = w.mode, mode, time.Now()
	if mode != "down" {
		return
	}
	for _, r := range w.running {
		r.end(storage.EndLapsed)
	}
}

func (w *worker) listed(lag time.Duration) storage.Host {
	w.mu.Lock()
	defer w.mu.Unlock()
	mode := w.mode
	if time.Since(w.modeAt) < lag {
		mode = w.prevMode
	}
	state := storage.StateLive
	if mode == "leaving" {
		state = storage.StateLeaving
	}
	return storage.Host{
		Name: w.name, Zone: w.zone, Rack: w.rack, Addr: "http://" + w.listener.Addr().String(),
		State: state, Room: w.room, Connections: w.connections,
	}
}

// down reports and answers for a worker that is out of order.
func (w *worker) down(rw http.ResponseWriter) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.mode == "down" {
		http.Error(rw, "worker is down", http.StatusServiceUnavailable)
		return true
	}
	return false
}

func (w *worker) serveEndpoint(rw http.ResponseWriter, r *http.Request) {
	if rn := w.admit(rw, r); rn != nil {
		reply(rw, w.carryOut(r.Context(), rn))
	}
}

// admit reads a start and begins it, or answers why not and returns nil.
func (w *worker) admit(rw http.ResponseWriter, r *http.Request) *run {
	var start storage.Start
	if w.down(rw) || !read(rw, r, &start) {
		return nil
	}
	rn, refusal := w.begin(start)
	if rn == nil {
		http.Error(rw, refusal, http.StatusPreconditionFailed)
	}
	return rn
}

func (w *worker) serveStart(rw http.ResponseWriter, r *http.Request) {
	rn := w.admit(rw, r)
	if rn == nil {
		return
	}
	rn.listed = true
	go w.carryOut(context.Background(), rn)
	reply(rw, struct{}{})
}

// begin admits a start, or says why not. It admits a start that it has no room
// for and counts it, because the product must never send one.
func (w *worker) begin(start storage.Start) (*run, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if start.NotAfter > 0 && now.UnixMilli() > start.NotAfter {
		return nil, "expired"
	}
	if w.mode == "leaving" {
		w.ledger.offer(now.Sub(w.modeAt))
		return nil, "leaving"
	}
	if _, ok := w.running[start.Task]; ok {
		return nil, "running"
	}
	rn := &run{start: start, begun: now, stop: make(chan string, 1)}
	_ = json.Unmarshal(start.Payload, &rn.work) // a payload of another form does no work
	rn.lapses = now.Add(time.Duration(start.LeaseMillis) * time.Millisecond)
	need := time.Duration(rn.work.WorkMillis-start.ResumeMillis) * time.Millisecond
	rn.due, rn.timer = now.Add(need), time.NewTimer(need)
	w.running[start.Task] = rn
	w.used = w.used.Add(start.Need)
	w.ledger.begin(start, rn.work.Tag, !w.used.Fits(w.room))
	return rn, ""
}

// carryOut runs the task until it is done, stopped, abandoned or its lease lapses.
func (w *worker) carryOut(ctx context.Context, rn *run) storage.Outcome {
	w.mu.Lock()
	failAll := w.mode == "failAll"
	w.mu.Unlock()
	defer rn.timer.Stop()
	how := storage.EndDone
	if failAll || rn.work.Fail {
		how = storage.EndFailed
	}
	end := w.wait(ctx, rn, rn.timer.C, how)
	return w.finish(rn, end)
}

func (w *worker) wait(ctx context.Context, rn *run, finish <-chan time.Time, how string) string {
	for {
		w.mu.Lock()
		left := time.Until(rn.lapses)
		w.mu.Unlock()
		if left <= 0 {
			return storage.EndLapsed
		}
		lapse := time.NewTimer(left)
		select {
		case <-finish:
			lapse.Stop()
			return how
		case end := <-rn.stop:
			lapse.Stop()
			return end
		case <-ctx.Done():
			lapse.Stop()
			return storage.EndStopped
		case <-lapse.C:
		}
	}
}

func (w *worker) finish(rn *run, end string) storage.Outcome {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.running, rn.start.Task)
	w.used = w.used.Sub(rn.start.Need)
	w.ledger.end(rn.start, rn.work.Tag, end == storage.EndDone)
	outcome := storage.Outcome{Task: rn.start.Task, Attempt: rn.start.Attempt, End: end}
	switch end {
	case storage.EndDone:
		outcome.Output, _ = json.Marshal(map[string]any{"worker": w.name, "task": rn.start.Task, "workMillis": rn.work.WorkMillis, "tag": rn.work.Tag})
	case storage.EndCheckpointed:
		outcome.ResumeMillis = rn.start.ResumeMillis + time.Since(rn.begun).Milliseconds()
	case storage.EndFailed:
		outcome.Message = "the task failed"
	}
	if rn.listed {
		w.publish(outcome)
	}
	return outcome
}

// publish adds an outcome to the reports. The caller holds w.mu, so that no
// report leaves a task out that has ended.
func (w *worker) publish(outcome storage.Outcome) {
	w.ended = append(w.ended, outcome)
	w.endedSeq++
	if len(w.ended) > maxEndedKept {
		w.ended = w.ended[len(w.ended)-maxEndedKept:]
	}
	close(w.wake)
	w.wake = make(chan struct{})
}

func (w *worker) serveRenew(rw http.ResponseWriter, r *http.Request) {
	var renewal storage.Renewal
	if w.down(rw) || !read(rw, r, &renewal) {
		return
	}
	w.mu.Lock()
	lapses := time.Now().Add(time.Duration(renewal.LeaseMillis) * time.Millisecond)
	late := renewal.NotAfter > 0 && time.Now().UnixMilli() > renewal.NotAfter
	for _, task := range renewal.Tasks {
		if rn := w.running[task]; rn != nil && rn.start.Owner == renewal.Owner && !late {
			rn.lapses = lapses
		}
	}
	quiet, wake := w.endedSeq <= renewal.After, w.wake
	w.mu.Unlock()
	if quiet && renewal.WaitMillis > 0 {
		timer := time.NewTimer(time.Duration(renewal.WaitMillis) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-wake:
		case <-timer.C:
		case <-r.Context().Done():
			return
		}
	}
	reply(rw, w.report(renewal.After))
}

func (w *worker) report(after uint64) storage.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	report := storage.Report{Next: w.endedSeq}
	if behind := w.endedSeq - min(after, w.endedSeq); behind > 0 {
		kept := uint64(len(w.ended))
		report.Ended = append(report.Ended, w.ended[kept-min(behind, kept):]...)
	}
	for _, rn := range w.running {
		start := rn.start
		start.Payload = nil
		report.Running = append(report.Running, start)
		if time.Since(rn.begun) < w.usageLag {
			continue
		}
		report.Usage = append(report.Usage, storage.Usage{Task: start.Task, Used: rn.work.Uses})
	}
	return report
}

func (w *worker) serveStop(rw http.ResponseWriter, r *http.Request) {
	var order storage.StopOrder
	if w.down(rw) || !read(rw, r, &order) {
		return
	}
	how := storage.EndStopped
	if order.Checkpoint {
		how = storage.EndCheckpointed
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, task := range order.Tasks {
		if rn := w.running[task]; rn != nil {
			rn.end(how)
		}
	}
	reply(rw, struct{}{})
}

// serveThrottle slows tasks down to a part of their speed for what they have
// left to do.
func (w *worker) serveThrottle(rw http.ResponseWriter, r *http.Request) {
	var order storage.ThrottleOrder
	if w.down(rw) || !read(rw, r, &order) {
		return
	}
	if order.Percent < 1 || order.Percent > 100 {
		http.Error(rw, "percent is not 1 to 100", http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, task := range order.Tasks {
		if rn := w.running[task]; rn != nil {
			left := max(0, time.Until(rn.due)) * 100 / time.Duration(order.Percent)
			rn.due = time.Now().Add(left)
			rn.timer.Reset(left)
		}
	}
	reply(rw, struct{}{})
}

func (r *run) end(how string) {
	select {
	case r.stop <- how:
	default:
	}
}

// limitListener accepts no more connections at a time than it has room for.
type limitListener struct {
	net.Listener
	room chan struct{}
}

func (l *limitListener) Accept() (net.Conn, error) {
	l.room <- struct{}{}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.room
		return nil, err
	}
	return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { <-l.room })}, nil
}

type limitedConn struct {
	net.Conn
	release func()
}

func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}
