// Package asynclog writes log lines without blocking the caller. Lines pass through a
// queue of bounded length and size. Lines that arrive while the queue is full are dropped and counted,
// and their number is logged later.
//
// # Usage
//
//	w := asynclog.New(os.Stdout, 4096)
//	log := slog.New(slog.NewJSONHandler(w, nil))
//	defer w.Close()
package asynclog

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// flushInterval is how long lines are collected before they are written together: a
// write call costs more than formatting a line.
const flushInterval = 20 * time.Millisecond

// maxQueuedBytes bounds the lines that are queued or being written.
const maxQueuedBytes = 8 << 20

// Writer is an io.Writer that queues lines and writes them in the background. Each call
// of Write must pass one whole line.
type Writer struct {
	lines     chan []byte
	queued    atomic.Int64 // bytes of the lines that are queued or being written
	dropped   atomic.Int64
	done      chan struct{}
	closeOnce sync.Once
	quit      chan struct{}
}

// New returns a Writer that writes to w and queues up to size lines.
func New(w io.Writer, size int) *Writer {
	writer := &Writer{lines: make(chan []byte, size), done: make(chan struct{}), quit: make(chan struct{})}
	go writer.run(w)
	return writer
}

// Write queues one line, or drops it if the queue is full. It never blocks and never
// fails.
func (w *Writer) Write(line []byte) (int, error) {
	size := int64(len(line))
	if w.queued.Add(size) <= maxQueuedBytes {
		select {
		case w.lines <- bytes.Clone(line):
			return len(line), nil
		default:
		}
	}
	w.queued.Add(-size)
	w.dropped.Add(1)
	return len(line), nil
}

// Dropped returns the number of lines dropped because the queue was full.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close stops the background goroutine after it has written the queued lines.
func (w *Writer) Close() {
	w.closeOnce.Do(func() { close(w.quit) })
	<-w.done
}

// run writes the queued lines to out until Close is called.
func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	var buf bytes.Buffer
	reported, queued := int64(0), int64(0)
	for {
		quitting := false
		select {
		case line := <-w.lines:
			buf.Write(line)
			queued += int64(len(line))
		case <-w.quit:
			quitting = true
		}
		if !quitting {
			time.Sleep(flushInterval)
		}
		for more := true; more; {
			select {
			case line := <-w.lines:
				buf.Write(line)
				queued += int64(len(line))
			default:
				more = false
			}
		}
		if dropped := w.dropped.Load(); dropped > reported {
			fmt.Fprintf(&buf, `{"time":%q,"level":"WARN","msg":"log lines dropped","count":%d}`+"\n", time.Now().UTC().Format(time.RFC3339Nano), dropped-reported)
			reported = dropped
		}
		// A failure to write the log cannot be reported anywhere.
		_, _ = out.Write(buf.Bytes())
		w.queued.Add(-queued)
		queued = 0
		buf.Reset()
		if quitting {
			return
		}
	}
}
