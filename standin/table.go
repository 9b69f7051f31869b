package standin

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cowslipgap/cowslipgap/storage"
)

// table is the platform's transactional table. Each row holds the revision of the
// transaction that wrote it; a deleted row stays as a tombstone.
type table struct {
	mu               sync.Mutex
	rows             map[string]storage.Row
	writtenKeys      []string // keys of all writes, oldest first
	writtenRevisions []uint64 // revision of each element of writtenKeys
	revision         uint64
	writes           tokenBucket
	reads            tokenBucket
}

// tokenBucket is a rate limiter that holds at most the tokens of one second.
type tokenBucket struct {
	rate   float64 // tokens per second
	tokens float64
	last   time.Time
	taken  uint64 // total number of tokens taken
}

// take takes n tokens and reports whether enough were available. A call for more
// than the bucket can hold needs a full bucket and makes tokens negative.
func (b *tokenBucket) take(n float64) bool {
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
	b.taken += uint64(n)
	return true
}

func (t *table) counts() (writes, reads uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.writes.taken, t.reads.taken
}

func (t *table) drawReplyLoss(probability float64) bool {
	return probability > 0 && rand.Float64() < probability
}

// transact applies the transaction. It returns its revision, or the key whose
// revision conflicts; ok is false if the write limit was exceeded.
func (t *table) transact(tx storage.Tx) (revision uint64, conflict string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.writes.take(float64(len(tx.Puts) + len(tx.Deletes))) {
		return 0, "", false
	}
	for _, check := range tx.Checks {
		row := t.rows[check.Key]
		current := row.Revision
		if row.Deleted {
			current = 0
		}
		if current != check.Revision {
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
	t.writtenKeys = append(t.writtenKeys, row.Key)
	t.writtenRevisions = append(t.writtenRevisions, row.Revision)
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

// changedSince returns the rows under prefix written after the revision, in key
// order, and the current revision; ok is false if the read limit was exceeded.
func (t *table) changedSince(prefix string, after uint64, includeDeleted bool) (rows []storage.Row, next uint64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.reads.take(1) {
		return nil, 0, false
	}
	first, _ := slices.BinarySearch(t.writtenRevisions, after+1)
	seen := map[string]bool{}
	for _, key := range t.writtenKeys[first:] {
		if !strings.HasPrefix(key, prefix) || seen[key] {
			continue
		}
		seen[key] = true
		if row := t.rows[key]; includeDeleted || !row.Deleted {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b storage.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows, t.revision, true
}
