package standin

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cowslipgap/cowslipgap/storage"
)

// table is the platform's transactional table. Rows keep the revision of the
// transaction that wrote them; a deleted row stays as a tombstone.
type table struct {
	mu       sync.Mutex
	rows     map[string]storage.Row
	log      []string // the key written by each revision, oldest first
	logStart []uint64
	revision uint64
	writes   budget
	reads    budget
}

// budget is a token bucket that holds a second's worth.
type budget struct {
	rate   float64
	tokens float64
	last   time.Time
	used   uint64
}

func (b *budget) take(n float64) bool {
	now := time.Now()
	if b.last.IsZero() {
		b.tokens = b.rate
	} else {
		b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.last).Seconds())
	}
	b.last = now
	if b.tokens < min(n, b.rate) {
		return false
	}
	b.tokens -= n
	b.used += uint64(n)
	return true
}

func (t *table) counts() (writes, reads uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.writes.used, t.reads.used
}

func (t *table) drawLoss(probability float64) bool {
	return probability > 0 && rand.Float64() < probability
}

func (t *table) transact(tx storage.Tx) (revision uint64, conflict string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.writes.take(float64(len(tx.Puts) + len(tx.Deletes))) {
		return 0, "", false
	}
	for _, check := range tx.Checks {
		row := t.rows[check.Key]
		have := row.Revision
		if row.Deleted {
			have = 0
		}
		if have != check.Revision {
			return 0, check.Key, true
		}
	}
	if t.rows == nil {
		t.rows = map[string]storage.Row{}
	}
	t.revision++
	for _, put := range tx.Puts {
		t.write(storage.Row{Key: put.Key, Value: put.Value, Revision: t.revision})
	}
	for _, key := range tx.Deletes {
		t.write(storage.Row{Key: key, Revision: t.revision, Deleted: true})
	}
	return t.revision, "", true
}

func (t *table) write(row storage.Row) {
	t.rows[row.Key] = row
	t.log = append(t.log, row.Key)
	t.logStart = append(t.logStart, row.Revision)
}

func (t *table) get(key string) (row storage.Row, exists, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.reads.take(1) {
		return storage.Row{}, false, false
	}
	row, exists = t.rows[key]
	return row, exists && !row.Deleted, true
}

// since returns the rows under prefix written after the revision, in key order.
func (t *table) since(prefix string, after uint64, deleted bool) (rows []storage.Row, next uint64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.reads.take(1) {
		return nil, 0, false
	}
	first, _ := slices.BinarySearch(t.logStart, after+1)
	seen := map[string]bool{}
	for _, key := range t.log[first:] {
		if !strings.HasPrefix(key, prefix) || seen[key] {
			continue
		}
		seen[key] = true
		if row := t.rows[key]; deleted || !row.Deleted {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b storage.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows, t.revision, true
}
