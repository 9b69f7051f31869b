package main

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeFault is what the store does to calls.
type storeFault int

const (
	storeSound  storeFault = iota
	storeSilent            // no answer, nothing done
	storeBusy              // 503
	storeReset             // the connection is reset
	storeLost              // a third of the transactions are done and not answered
	storeLate              // a third of the transactions are done 1 to 6 s later, without an answer
	storeSlow              // answers take 60 times as long
)

const txnTime = 4 * time.Millisecond

type rowID struct{ table, part, key string }

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is the platform's metadata store.
type store struct {
	mu      sync.Mutex
	rows    map[rowID]row
	history []row
	dropped uint64
	ver     uint64
	changed chan struct{}
	fault   storeFault
	faultOf map[string]storeFault // by name of the entry host
	start   time.Time
}

func newStore() *store {
	return &store{rows: map[rowID]row{}, changed: make(chan struct{}), faultOf: map[string]storeFault{}, start: time.Now()}
}

func (s *store) setFault(f storeFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

func (s *store) setFaultOf(host string, f storeFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultOf[host] = f
}

func (s *store) dropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.dropped = nil, s.ver
}

// put writes a row of the operator or of a worker.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.apply(row{Table: table, Key: key, Value: value, Ver: s.ver})
	s.notify()
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.rows[rowID{table, "", key}]; ok {
		s.ver++
		s.apply(row{Table: table, Key: key, Ver: s.ver, Deleted: true})
		s.notify()
	}
}

func (s *store) apply(r row) {
	id := rowID{r.Table, r.Part, r.Key}
	if r.Deleted {
		delete(s.rows, id)
	} else {
		s.rows[id] = r
	}
	s.history = append(s.history, r)
	if len(s.history) > 40_000 {
		s.dropped = s.history[10_000].Ver
		s.history = slices.Clone(s.history[10_001:])
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// handler serves one entry host.
func (s *store) handler(host string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		fault := s.fault
		if f := s.faultOf[host]; f != storeSound {
			fault = f
		}
		s.mu.Unlock()
		switch fault {
		case storeSilent:
			<-r.Context().Done()
			return
		case storeBusy:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case storeReset:
			panic(http.ErrAbortHandler)
		case storeSlow:
			time.Sleep(60 * txnTime)
		}
		time.Sleep(txnTime)
		switch r.URL.Path {
		case "/-/rows-tx":
			s.transact(w, r, fault)
		case "/-/rows-get":
			s.get(w, r)
		case "/-/rows-feed":
			s.feed(w, r)
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	})
}

type transaction struct {
	Conditions []row `json:"expected_rev"`
	Put        []row `json:"put"`
	Remove     []row `json:"remove"`
}

func (s *store) transact(w http.ResponseWriter, r *http.Request, fault storeFault) {
	var tx transaction
	body, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(body, &tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if len(tx.Conditions)+len(tx.Put)+len(tx.Remove) > 100 || len(body) > 1<<20 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, p := range tx.Put {
		if base64.StdEncoding.EncodedLen(len(p.Value)) > 65536 || p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	hit := rand.Float64() < 0.35
	if fault == storeLate && hit {
		go func() {
			time.Sleep(time.Second + rand.N(5*time.Second))
			s.commit(tx)
		}()
		panic(http.ErrAbortHandler)
	}
	ver, current := s.commit(tx)
	if fault == storeLost && hit {
		panic(http.ErrAbortHandler)
	}
	if current != nil {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": ver, "now_ms": time.Since(s.start).Milliseconds()})
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"ver": ver, "now_ms": time.Since(s.start).Milliseconds()})
}

// commit applies a transaction, or returns the current rows that its conditions name.
func (s *store) commit(tx transaction) (uint64, []row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	failed, current := false, []row{}
	for _, c := range tx.Conditions {
		r, ok := s.rows[rowID{c.Table, c.Part, c.Key}]
		failed = failed || r.Ver != c.Ver
		if ok {
			current = append(current, r)
		}
	}
	if failed {
		return s.ver, current
	}
	s.ver++
	for _, p := range tx.Put {
		p.Ver = s.ver
		s.apply(p)
	}
	for _, d := range tx.Remove {
		s.apply(row{Table: d.Table, Part: d.Part, Key: d.Key, Ver: s.ver, Deleted: true})
	}
	s.notify()
	return s.ver, nil
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	rows := []row{}
	s.mu.Lock()
	for id, entry := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") && (q.Get("target") == "" || id.key < q.Get("target")) {
			rows = append(rows, entry)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	limit := 500
	if n, err := strconv.Atoi(q.Get("limit")); err == nil {
		limit = min(limit, n)
	}
	n, size := 0, 0
	for n < min(limit, len(rows)) && (n == 0 || size+len(rows[n].Value)*4/3 <= 1<<20) {
		size += len(rows[n].Value) * 4 / 3
		n++
	}
	writeJSON(w, http.StatusOK, map[string]any{"rows": rows[:n], "has_more": n < len(rows), "ver": ver, "now_ms": time.Since(s.start).Milliseconds()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if after < s.dropped {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		rows := []row{}
		i, _ := slices.BinarySearchFunc(s.history, after+1, func(r row, ver uint64) int { return int(int64(r.Ver) - int64(ver)) })
		for _, r := range s.history[i:] {
			if r.Table == q.Get("table") {
				rows = append(rows, r)
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if len(rows) > 500 {
			n := 500
			for n < len(rows) && rows[n].Ver == rows[n-1].Ver {
				n++
			}
			rows = rows[:n]
			ver = rows[n-1].Ver
		}
		if len(rows) == 0 {
			select {
			case <-changed:
				continue
			case <-timer.C:
			case <-r.Context().Done():
				return
			}
		}
		writeJSON(w, http.StatusOK, map[string]any{"rows": rows, "ver": ver, "now_ms": time.Since(s.start).Milliseconds()})
		return
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have gone
}
