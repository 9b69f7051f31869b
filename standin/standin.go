// Package standin simulates, in memory and on loopback, the systems that
// cowslipgap depends on: the platform's table, object store and list of workers,
// and the workers with their endpoints. Tests, the demo and cmd/standin use it;
// the product itself never does. The protocol is in docs/PLATFORM.md.
//
// The stand-in keeps a [Ledger] of the tasks that actually ran. Lost work, work
// that ran twice and work over a limit are counted from it.
//
// # Usage
//
//	s := standin.Standin{Zones: []string{"a", "b"}, WorkersPerZone: 8, WorkersPerRack: 4}
//	if err := s.Start("127.0.0.1:0"); err != nil {
//		return err
//	}
//	defer s.Close()
//	client := storage.Client{BaseURL: s.URL()}
package standin

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/storage"
)

const (
	defaultWritesPerSecond = 400
	defaultReadsPerSecond  = 2000
	maxRequestBytes        = 8 << 20
)

// Standin is a simulated platform with all its workers. Set the exported fields
// before Start.
type Standin struct {
	Zones          []string
	WorkersPerZone int
	WorkersPerRack int
	WorkerCapacity resource.Vector // capacity of each worker; 8 slots, 32 cores and 64 GiB if zero
	MaxConnections int             // maximum number of connections that each worker accepts at a time; 64 if zero
	WorkerListLag  time.Duration   // delay until the list of workers shows a change
	UsageLag       time.Duration   // delay until the usage of a new task is reported
	// WritesPerSecond and ReadsPerSecond are the rate limits of the table; a
	// call over the limit is refused with status 429. 400 and 2000 if zero.
	WritesPerSecond int
	ReadsPerSecond  int

	Ledger Ledger

	mu       sync.Mutex
	table    table
	objects  map[string]json.RawMessage
	workers  []*worker
	server   *http.Server
	listener net.Listener
	fault    TableFault
}

// TableFault is a fault of the table and the object store. The zero TableFault is
// none.
type TableFault struct {
	// Outage is "" for none, "refuse" for status 503, or "hang" for no response.
	Outage string `json:"outage"`
	// LoseReplies is the probability that a write takes effect but its response
	// is lost.
	LoseReplies float64 `json:"loseReplies"`
	// DelayMillis is added to every call.
	DelayMillis int64 `json:"delayMillis"`
}

// Start serves the platform on addr and each worker on its own loopback port.
func (s *Standin) Start(addr string) error {
	s.setDefaults()
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrapf(err, "standin: listen on %s", addr)
	}
	s.listener = listener
	for _, zone := range s.Zones {
		for i := range s.WorkersPerZone {
			w := &worker{
				name: fmt.Sprintf("%s-w%02d", zone, i), zone: zone,
				rack:     fmt.Sprintf("%s-r%d", zone, i/s.WorkersPerRack),
				capacity: s.WorkerCapacity, connections: s.MaxConnections, usageLag: s.UsageLag, ledger: &s.Ledger,
			}
			if err := w.start(); err != nil {
				s.Close()
				return err
			}
			s.workers = append(s.workers, w)
		}
	}
	s.server = &http.Server{Handler: s.routes(), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.server.Serve(listener) }()
	return nil
}

func (s *Standin) setDefaults() {
	if s.WritesPerSecond == 0 {
		s.WritesPerSecond = defaultWritesPerSecond
	}
	if s.ReadsPerSecond == 0 {
		s.ReadsPerSecond = defaultReadsPerSecond
	}
	if s.WorkersPerRack == 0 {
		s.WorkersPerRack = max(1, s.WorkersPerZone)
	}
	if s.WorkerCapacity == (resource.Vector{}) {
		s.WorkerCapacity = resource.Vector{Slots: 8, MilliCPU: 32000, MemoryMB: 65536}
	}
	if s.MaxConnections == 0 {
		s.MaxConnections = 64
	}
	s.objects = map[string]json.RawMessage{}
	s.table.writes.rate = float64(s.WritesPerSecond)
	s.table.reads.rate = float64(s.ReadsPerSecond)
}

// URL returns the base URL of the platform.
func (s *Standin) URL() string { return "http://" + s.listener.Addr().String() }

// Close stops the platform and every worker.
func (s *Standin) Close() {
	if s.server != nil {
		_ = s.server.Close()
	} else if s.listener != nil {
		_ = s.listener.Close()
	}
	for _, w := range s.workers {
		w.close()
	}
}

// SetTableFault replaces the current fault of the table and the object store.
func (s *Standin) SetTableFault(f TableFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// SetWorkerMode sets the mode of the named worker: "" is normal, "failAll" fails all
// tasks it starts, "leaving" is listed as leaving and refuses new tasks, and
// "down" refuses every call and ends the running tasks.
func (s *Standin) SetWorkerMode(name, mode string) error {
	for _, w := range s.workers {
		if w.name == name {
			w.setMode(mode)
			return nil
		}
	}
	return errors.Newf("standin: worker %q does not exist", name)
}

// Workers returns the names of all workers.
func (s *Standin) Workers() []string {
	names := make([]string, 0, len(s.workers))
	for _, w := range s.workers {
		names = append(names, w.name)
	}
	return names
}

// TableCounts returns the number of writes and reads that the table has served.
func (s *Standin) TableCounts() (writes, reads uint64) { return s.table.counts() }

func (s *Standin) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /table/transact", s.withFaults(true, s.transact))
	mux.HandleFunc("GET /table/row", s.withFaults(false, s.row))
	mux.HandleFunc("GET /table/scan", s.withFaults(false, s.scan))
	mux.HandleFunc("GET /table/changes", s.withFaults(false, s.changes))
	mux.HandleFunc("PUT /objects/{name}", s.withFaults(true, s.putObject))
	mux.HandleFunc("GET /objects/{name}", s.withFaults(false, s.getObject))
	mux.HandleFunc("GET /hosts", s.listWorkers)
	mux.HandleFunc("POST /admin/table", s.adminTable)
	mux.HandleFunc("POST /admin/worker", s.adminWorker)
	mux.HandleFunc("GET /admin/ledger", s.adminLedger)
	return mux
}

// withFaults applies the current fault to a handler of the table or the object
// store.
func (s *Standin) withFaults(write bool, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		fault := s.fault
		s.mu.Unlock()
		time.Sleep(time.Duration(fault.DelayMillis) * time.Millisecond)
		switch fault.Outage {
		case "refuse":
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		case "hang":
			// The server notices that the caller has disconnected only after the
			// body was read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		}
		if write && s.table.drawReplyLoss(fault.LoseReplies) {
			next(discardResponse{}, r)
			panic(http.ErrAbortHandler)
		}
		next(w, r)
	}
}

// discardResponse is a ResponseWriter that discards a response that is to be lost.
type discardResponse struct{}

func (discardResponse) Header() http.Header            { return http.Header{} }
func (discardResponse) Write(data []byte) (int, error) { return len(data), nil }
func (discardResponse) WriteHeader(int)                {}

func (s *Standin) transact(w http.ResponseWriter, r *http.Request) {
	var tx storage.Tx
	if !readJSON(w, r, &tx) {
		return
	}
	revision, conflict, ok := s.table.transact(tx)
	switch {
	case !ok:
		http.Error(w, "write rate limit exceeded", http.StatusTooManyRequests)
	case conflict != "":
		http.Error(w, conflict, http.StatusConflict)
	default:
		writeJSON(w, map[string]uint64{"revision": revision})
	}
}

func (s *Standin) row(w http.ResponseWriter, r *http.Request) {
	row, exists, ok := s.table.get(r.URL.Query().Get("key"))
	switch {
	case !ok:
		http.Error(w, "read rate limit exceeded", http.StatusTooManyRequests)
	case !exists:
		http.Error(w, "no such row", http.StatusNotFound)
	default:
		writeJSON(w, row)
	}
}

func (s *Standin) scan(w http.ResponseWriter, r *http.Request) {
	s.writeRows(w, r.URL.Query().Get("prefix"), 0, false)
}

func (s *Standin) changes(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "parameter after is not a number", http.StatusBadRequest)
		return
	}
	s.writeRows(w, r.URL.Query().Get("prefix"), after, true)
}

func (s *Standin) writeRows(w http.ResponseWriter, prefix string, after uint64, includeDeleted bool) {
	rows, next, ok := s.table.changedSince(prefix, after, includeDeleted)
	if !ok {
		http.Error(w, "read rate limit exceeded", http.StatusTooManyRequests)
		return
	}
	writeJSON(w, storage.Rows{Rows: rows, Next: next})
}

func (s *Standin) putObject(w http.ResponseWriter, r *http.Request) {
	var data json.RawMessage
	if !readJSON(w, r, &data) {
		return
	}
	s.mu.Lock()
	s.objects[r.PathValue("name")] = data
	s.mu.Unlock()
	writeJSON(w, struct{}{})
}

func (s *Standin) getObject(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	data, ok := s.objects[r.PathValue("name")]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	writeJSON(w, data)
}

func (s *Standin) listWorkers(w http.ResponseWriter, r *http.Request) {
	zone := r.URL.Query().Get("zone")
	workers := []storage.Worker{}
	for _, wk := range s.workers {
		if zone == "" || wk.zone == zone {
			workers = append(workers, wk.listEntry(s.WorkerListLag))
		}
	}
	data, _ := json.Marshal(workers)
	sum := fnv.New64a()
	_, _ = sum.Write(data)
	list := storage.WorkerList{Version: sum.Sum64()}
	if strconv.FormatUint(list.Version, 10) != r.URL.Query().Get("version") {
		list.Workers = workers
	}
	writeJSON(w, list)
}

func (s *Standin) adminTable(w http.ResponseWriter, r *http.Request) {
	var fault TableFault
	if readJSON(w, r, &fault) {
		s.SetTableFault(fault)
		writeJSON(w, struct{}{})
	}
}

func (s *Standin) adminWorker(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Name string `json:"name"`
		Mode string `json:"mode"`
	}
	if !readJSON(w, r, &body) {
		return
	}
	if err := s.SetWorkerMode(body.Name, body.Mode); err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	writeJSON(w, struct{}{})
}

func (s *Standin) adminLedger(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Ledger.Count())
}

func readJSON(w http.ResponseWriter, r *http.Request, out any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(out); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}
