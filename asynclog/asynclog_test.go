package asynclog_test

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/asynclog"
)

// blockedWriter is a writer that blocks until gate is closed.
type blockedWriter struct {
	gate chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.gate
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(p)
}

// TestFullQueueDropsAndCountsLines checks that a blocked writer does not block logging,
// and that every line is either written or counted as dropped.
func TestFullQueueDropsAndCountsLines(t *testing.T) {
	w := &blockedWriter{gate: make(chan struct{})}
	logWriter := asynclog.New(w, 8)
	log := slog.New(slog.NewJSONHandler(logWriter, nil))
	start := time.Now()
	for range 1000 {
		log.Info("line")
	}
	require.Less(t, time.Since(start), time.Second, "logging must not block while the writer is blocked")
	require.Positive(t, logWriter.Dropped())
	close(w.gate)
	logWriter.Close()
	text := w.buf.String()
	require.Regexp(t, `{"time":"20[^"]+Z","level":"WARN","msg":"log lines dropped"`, text)
	require.EqualValues(t, 1000, int64(strings.Count(text, `"msg":"line"`))+logWriter.Dropped())
}

// TestQueuedBytesAreBounded logs long lines while the writer is blocked.
func TestQueuedBytesAreBounded(t *testing.T) {
	const lines, size, most = 100, 300 << 10, 8 << 20
	w := &blockedWriter{gate: make(chan struct{})}
	logWriter := asynclog.New(w, lines)
	line := append(bytes.Repeat([]byte("l"), size-1), '\n')
	for range lines {
		_, _ = logWriter.Write(line) // never fails
	}
	require.EqualValues(t, lines-most/size, logWriter.Dropped())
	close(w.gate)
	require.Eventually(t, func() bool { // what has been written makes room
		before := logWriter.Dropped()
		_, _ = logWriter.Write(line)
		return logWriter.Dropped() == before
	}, 10*time.Second, 10*time.Millisecond)
	logWriter.Close()
}

func BenchmarkWriteToFullQueue(b *testing.B) {
	w := &blockedWriter{gate: make(chan struct{})}
	logWriter := asynclog.New(w, 8)
	line := []byte("{\"msg\":\"a line of a usual length with a few attributes\",\"id\":\"0123456789abcdef\"}\n")
	for range 100 {
		_, _ = logWriter.Write(line) // never fails
	}
	for b.Loop() {
		_, _ = logWriter.Write(line)
	}
	close(w.gate)
	logWriter.Close()
}
