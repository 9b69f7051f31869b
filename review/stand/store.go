package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the store as the settings file and the pages give them.
const (
	rowBytes     = 65536
	txEntries    = 100
	txBytes      = 1 << 20
	pageRows     = 500
	storeLatency = 4 * time.Millisecond
)

type rowKey struct{ Table, Part, Key string }

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's store. It loses nothing that it has acknowledged.
type store struct {
	w       *world
	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	ver     uint64
	changed chan struct{}
	slow    int // answers take this many times as long
	refused int // transactions refused because a row is too large
	begun   time.Time
}

func newStore(w *world) *store {
	return &store{w: w, rows: map[rowKey]row{}, changed: make(chan struct{}), begun: time.Now()}
}

// setSlow makes the store's answers take x times as long.
func (s *store) setSlow(x int) {
	s.mu.Lock()
	s.slow = x
	s.mu.Unlock()
	s.w.record("store answers take %d times as long", x)
}

func (s *store) latency() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeLatency * time.Duration(max(1, s.slow))
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// putOwn writes a row of the operator or of a worker.
func (s *store) putOwn(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // the values are maps and strings
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.set(row{Table: table, Key: key, Value: data, Ver: s.ver})
	s.notify()
}

// removeOwn removes a row of the operator or of a worker.
func (s *store) removeOwn(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.set(row{Table: table, Key: key, Ver: s.ver, Deleted: true})
	s.notify()
}

func (s *store) set(r row) {
	k := rowKey{r.Table, r.Part, r.Key}
	if r.Deleted {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.history = append(s.history, r)
	if len(s.history) > 50000 {
		s.history = s.history[10000:]
	}
}

func (s *store) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	time.Sleep(s.latency())
	body, err := io.ReadAll(io.LimitReader(r.Body, 4<<20))
	if err != nil {
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "POST /-/rows-tx":
		s.transact(rw, body)
	case "GET /-/rows-get":
		s.get(rw, r)
	case "GET /-/rows-feed":
		s.feed(rw, r)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) transact(rw http.ResponseWriter, body []byte) {
	var tx struct {
		Expected []row `json:"expected_rev"`
		Put      []row `json:"put"`
		Remove   []row `json:"remove"`
	}
	if err := json.Unmarshal(body, &tx); err != nil || len(body) > txBytes || len(tx.Expected)+len(tx.Put)+len(tx.Remove) > txEntries {
		s.w.record("store refuses a transaction of %d entries and %d bytes", len(tx.Expected)+len(tx.Put)+len(tx.Remove), len(body))
		answer(rw, http.StatusBadRequest, map[string]any{"error": "malformed or too large"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range tx.Put {
		if len(p.Value) > rowBytes {
			s.refused++
			if s.refused <= 3 || s.refused%50 == 0 {
				s.w.record("store refuses a row: table %s key %s has %d bytes, row_bytes is %d (refusal %d)", p.Table, p.Key, len(p.Value), rowBytes, s.refused)
			}
			answer(rw, http.StatusBadRequest, map[string]any{"error": "a value is longer than row_bytes"})
			return
		}
	}
	conflict := false
	current := []row{}
	for _, e := range tx.Expected {
		r := s.rows[rowKey{e.Table, e.Part, e.Key}]
		conflict = conflict || r.Ver != e.Ver
		if r.Ver > 0 {
			current = append(current, r)
		}
	}
	if conflict {
		answer(rw, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": s.ver, "now_ms": s.now()})
		return
	}
	s.ver++
	for _, p := range tx.Put {
		p.Ver = s.ver
		s.set(p)
	}
	for _, d := range tx.Remove {
		if _, known := s.rows[rowKey{d.Table, d.Part, d.Key}]; known {
			s.set(row{Table: d.Table, Part: d.Part, Key: d.Key, Ver: s.ver, Deleted: true})
		}
	}
	s.notify()
	answer(rw, http.StatusOK, map[string]any{"ver": s.ver, "now_ms": s.now()})
}

func (s *store) now() int64 { return time.Since(s.begun).Milliseconds() }

func (s *store) get(rw http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > pageRows {
		limit = pageRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []row{}
	for k, v := range s.rows {
		if k.Table == q.Get("table") && k.Part == q.Get("part") && k.Key >= q.Get("from") && (q.Get("target") == "" || k.Key < q.Get("target")) {
			list = append(list, v)
		}
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
	size, n := 0, 0
	for n < len(list) && n < limit && (n == 0 || size+len(list[n].Value)*4/3 < txBytes) {
		size += len(list[n].Value) * 4 / 3
		n++
	}
	answer(rw, http.StatusOK, map[string]any{"rows": list[:n], "has_more": n < len(list), "ver": s.ver, "now_ms": s.now()})
}

func (s *store) feed(rw http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64) // 0 reads all
	wait, _ := strconv.Atoi(q.Get("wait_ms"))             // 0 does not wait
	end := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		list := []row{}
		for _, h := range s.history {
			if h.Table == q.Get("table") && h.Ver > after {
				list = append(list, h)
			}
		}
		changed, ver := s.changed, s.ver
		s.mu.Unlock()
		if len(list) > 0 {
			answer(rw, http.StatusOK, map[string]any{"rows": list, "ver": ver, "now_ms": s.now()})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			answer(rw, http.StatusOK, map[string]any{"rows": list, "ver": ver, "now_ms": s.now()})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func answer(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body) // the caller may be gone
}
