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

// maxEndedKept is the number of outcomes that a worker keeps for its owners.
const maxEndedKept = 4096

// Work describes what a simulated task does. It is the payload of the task.
type Work struct {
	WorkMillis int64           `json:"workMillis"`
	Fail       bool            `json:"fail,omitempty"` // fail instead of completing
	Tag        string          `json:"tag,omitempty"`  // the ledger also counts tasks by tag
	Uses       resource.Vector `json:"uses,omitzero"`  // the usage that is reported
}

// worker simulates one worker and its endpoint.
type worker struct {
	name, zone, rack string
	capacity         resource.Vector
	connections      int
	usageLag         time.Duration
	ledger           *Ledger

	mu            sync.Mutex
	mode          string // see Standin.SetWorkerMode
	modeChangedAt time.Time
	prevMode      string // mode before modeChangedAt, which the list of workers still shows for a while
	running       map[string]*taskRun
	allocated     resource.Vector
	ended         []storage.Outcome // the last maxEndedKept outcomes
	endedSeq      uint64            // sequence number of the last outcome
	outcomeAdded  chan struct{}     // closed and replaced when an outcome is added

	listener net.Listener
	server   *http.Server
}

// taskRun is a running attempt of a task.
type taskRun struct {
	start     storage.StartRequest
	work      Work
	startedAt time.Time
	leaseEnd  time.Time
	doneAt    time.Time   // when the work is done, unless stopped or throttled before
	timer     *time.Timer // fires at doneAt
	reported  bool        // the outcome goes into the reports, not into the response to the call
	stop      chan string // receives the end state if the run is ended early
}

func (w *worker) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrapf(err, "standin: listen for worker %s", w.name)
	}
	w.listener = listener
	w.running = map[string]*taskRun{}
	w.outcomeAdded = make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /endpoint", w.serveEndpoint)
	mux.HandleFunc("POST /start", w.serveStart)
	mux.HandleFunc("POST /renew", w.serveRenew)
	mux.HandleFunc("POST /stop", w.serveStop)
	mux.HandleFunc("POST /throttle", w.serveThrottle)
	w.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		_ = w.server.Serve(&limitListener{Listener: listener, slots: make(chan struct{}, w.connections)})
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
	w.prevMode, w.mode, w.modeChangedAt = w.mode, mode, time.Now()
	if mode != "down" {
		return
	}
	for _, r := range w.running {
		r.requestEnd(storage.EndLeaseExpired)
	}
}

// listEntry returns the worker's entry in the list of workers. A change of mode
// shows after lag.
func (w *worker) listEntry(lag time.Duration) storage.Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	mode := w.mode
	if time.Since(w.modeChangedAt) < lag {
		mode = w.prevMode
	}
	state := storage.StateLive
	if mode == "leaving" {
		state = storage.StateLeaving
	}
	return storage.Worker{
		Name: w.name, Zone: w.zone, Rack: w.rack, Addr: "http://" + w.listener.Addr().String(),
		State: state, Capacity: w.capacity, Connections: w.connections,
	}
}

// rejectIfDown writes an error response and returns true if the worker is down.
func (w *worker) rejectIfDown(rw http.ResponseWriter) bool {
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
		writeJSON(rw, w.execute(r.Context(), rn))
	}
}

// admit decodes a start and starts the run. If the start is refused, admit writes
// the reason to the response and returns nil.
func (w *worker) admit(rw http.ResponseWriter, r *http.Request) *taskRun {
	var start storage.StartRequest
	if w.rejectIfDown(rw) || !readJSON(rw, r, &start) {
		return nil
	}
	rn, refusal := w.startRun(start)
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
	rn.reported = true
	go w.execute(context.Background(), rn)
	writeJSON(rw, struct{}{})
}

// startRun starts a run or returns the reason for refusing it. A start beyond the
// free capacity is accepted and counted in the ledger, because the product must
// never send one.
func (w *worker) startRun(start storage.StartRequest) (*taskRun, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if start.NotAfter > 0 && now.UnixMilli() > start.NotAfter {
		return nil, "expired"
	}
	if w.mode == "leaving" {
		w.ledger.recordStartWhileLeaving(now.Sub(w.modeChangedAt))
		return nil, "leaving"
	}
	if _, ok := w.running[start.Task]; ok {
		return nil, "running"
	}
	rn := &taskRun{start: start, startedAt: now, stop: make(chan string, 1)}
	_ = json.Unmarshal(start.Payload, &rn.work) // a payload of another form means no work
	rn.leaseEnd = now.Add(time.Duration(start.LeaseMillis) * time.Millisecond)
	workTime := time.Duration(rn.work.WorkMillis-start.ResumeMillis) * time.Millisecond
	rn.doneAt, rn.timer = now.Add(workTime), time.NewTimer(workTime)
	w.running[start.Task] = rn
	w.allocated = w.allocated.Add(start.Need)
	w.ledger.recordStart(start, rn.work.Tag, !w.allocated.Fits(w.capacity))
	return rn, ""
}

// execute waits until the task is done or stopped, the caller disconnects (ctx),
// or the lease expires, and returns the outcome.
func (w *worker) execute(ctx context.Context, rn *taskRun) storage.Outcome {
	w.mu.Lock()
	failAll := w.mode == "failAll"
	w.mu.Unlock()
	defer rn.timer.Stop()
	endOnFinish := storage.EndDone
	if failAll || rn.work.Fail {
		endOnFinish = storage.EndFailed
	}
	end := w.awaitEnd(ctx, rn, rn.timer.C, endOnFinish)
	return w.finish(rn, end)
}

// awaitEnd waits for the end of the run and returns its end state, which is
// endOnFinish if finished fires first.
func (w *worker) awaitEnd(ctx context.Context, rn *taskRun, finished <-chan time.Time, endOnFinish string) string {
	for {
		w.mu.Lock()
		left := time.Until(rn.leaseEnd)
		w.mu.Unlock()
		if left <= 0 {
			return storage.EndLeaseExpired
		}
		leaseTimer := time.NewTimer(left)
		select {
		case <-finished:
			leaseTimer.Stop()
			return endOnFinish
		case end := <-rn.stop:
			leaseTimer.Stop()
			return end
		case <-ctx.Done():
			leaseTimer.Stop()
			return storage.EndStopped
		case <-leaseTimer.C:
		}
	}
}

// finish removes the run and returns its outcome.
func (w *worker) finish(rn *taskRun, end string) storage.Outcome {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.running, rn.start.Task)
	w.allocated = w.allocated.Sub(rn.start.Need)
	w.ledger.recordEnd(rn.start, rn.work.Tag, end == storage.EndDone)
	outcome := storage.Outcome{Task: rn.start.Task, Attempt: rn.start.Attempt, End: end}
	switch end {
	case storage.EndDone:
		outcome.Output, _ = json.Marshal(map[string]any{"worker": w.name, "task": rn.start.Task, "workMillis": rn.work.WorkMillis, "tag": rn.work.Tag})
	case storage.EndCheckpointed:
		outcome.ResumeMillis = rn.start.ResumeMillis + time.Since(rn.startedAt).Milliseconds()
	case storage.EndFailed:
		outcome.Message = "the task failed"
	}
	if rn.reported {
		w.publish(outcome)
	}
	return outcome
}

// publish adds an outcome to the reports. The caller must hold w.mu since it
// removed the task from the running ones, so that no report omits the task.
func (w *worker) publish(outcome storage.Outcome) {
	w.ended = append(w.ended, outcome)
	w.endedSeq++
	if len(w.ended) > maxEndedKept {
		w.ended = w.ended[len(w.ended)-maxEndedKept:]
	}
	close(w.outcomeAdded)
	w.outcomeAdded = make(chan struct{})
}

// serveRenew renews leases, unless NotAfter has passed, and returns a report. If
// there is no outcome newer than After, it waits up to WaitMillis for one.
func (w *worker) serveRenew(rw http.ResponseWriter, r *http.Request) {
	var renewal storage.Renewal
	if w.rejectIfDown(rw) || !readJSON(rw, r, &renewal) {
		return
	}
	w.mu.Lock()
	leaseEnd := time.Now().Add(time.Duration(renewal.LeaseMillis) * time.Millisecond)
	late := renewal.NotAfter > 0 && time.Now().UnixMilli() > renewal.NotAfter
	for _, task := range renewal.Tasks {
		if rn := w.running[task]; rn != nil && rn.start.Owner == renewal.Owner && !late {
			rn.leaseEnd = leaseEnd
		}
	}
	upToDate, outcomeAdded := w.endedSeq <= renewal.After, w.outcomeAdded
	w.mu.Unlock()
	if upToDate && renewal.WaitMillis > 0 {
		timer := time.NewTimer(time.Duration(renewal.WaitMillis) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-outcomeAdded:
		case <-timer.C:
		case <-r.Context().Done():
			return
		}
	}
	writeJSON(rw, w.report(renewal.After))
}

func (w *worker) report(after uint64) storage.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	report := storage.Report{Next: w.endedSeq}
	if unread := w.endedSeq - min(after, w.endedSeq); unread > 0 {
		kept := uint64(len(w.ended))
		report.Ended = append(report.Ended, w.ended[kept-min(unread, kept):]...)
	}
	for _, rn := range w.running {
		start := rn.start
		start.Payload = nil
		report.Running = append(report.Running, start)
		if time.Since(rn.startedAt) < w.usageLag {
			continue
		}
		report.Usage = append(report.Usage, storage.Usage{Task: start.Task, Used: rn.work.Uses})
	}
	return report
}

func (w *worker) serveStop(rw http.ResponseWriter, r *http.Request) {
	var stop storage.StopRequest
	if w.rejectIfDown(rw) || !readJSON(rw, r, &stop) {
		return
	}
	end := storage.EndStopped
	if stop.Checkpoint {
		end = storage.EndCheckpointed
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, task := range stop.Tasks {
		if rn := w.running[task]; rn != nil {
			rn.requestEnd(end)
		}
	}
	writeJSON(rw, struct{}{})
}

// serveThrottle slows tasks down to a percentage of their current speed for the
// remaining work.
func (w *worker) serveThrottle(rw http.ResponseWriter, r *http.Request) {
	var throttle storage.ThrottleRequest
	if w.rejectIfDown(rw) || !readJSON(rw, r, &throttle) {
		return
	}
	if throttle.Percent < 1 || throttle.Percent > 100 {
		http.Error(rw, "percent is not 1 to 100", http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, task := range throttle.Tasks {
		if rn := w.running[task]; rn != nil {
			left := max(0, time.Until(rn.doneAt)) * 100 / time.Duration(throttle.Percent)
			rn.doneAt = time.Now().Add(left)
			rn.timer.Reset(left)
		}
	}
	writeJSON(rw, struct{}{})
}

// requestEnd ends the run with the given end state, unless an end was requested
// before.
func (rn *taskRun) requestEnd(end string) {
	select {
	case rn.stop <- end:
	default:
	}
}

// limitListener limits the number of open connections to the capacity of slots.
type limitListener struct {
	net.Listener
	slots chan struct{}
}

func (l *limitListener) Accept() (net.Conn, error) {
	l.slots <- struct{}{}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { <-l.slots })}, nil
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
