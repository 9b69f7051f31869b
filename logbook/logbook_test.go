package logbook_test

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/logbook"
)

// stalled is a writer that blocks until it is let go.
type stalled struct {
	gate chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.gate
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

func TestFullQueueDropsAndCounts(t *testing.T) {
	w := &stalled{gate: make(chan struct{})}
	book := logbook.New(w, 8)
	log := slog.New(slog.NewJSONHandler(book, nil))
	began := time.Now()
	for range 1000 {
		log.Info("line")
	}
	require.Less(t, time.Since(began), time.Second, "a stalled reader blocks nobody")
	require.Positive(t, book.Dropped())
	close(w.gate)
	book.Close()
	text := w.buf.String()
	require.Contains(t, text, "log lines dropped")
	require.EqualValues(t, 1000, int64(strings.Count(text, `"msg":"line"`))+book.Dropped())
}

func BenchmarkWriteToFullQueue(b *testing.B) {
	w := &stalled{gate: make(chan struct{})}
	book := logbook.New(w, 8)
	line := []byte("{\"msg\":\"a line of a usual length with a few attributes\",\"id\":\"0123456789abcdef\"}\n")
	for range 100 {
		_, _ = book.Write(line) // it never fails
	}
	for b.Loop() {
		_, _ = book.Write(line)
	}
	close(w.gate)
	book.Close()
}
