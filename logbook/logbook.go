// Package logbook writes log lines without ever blocking: lines go through a
// bounded queue, and those that find it full are counted and reported later.
//
// # Usage
//
//	book := logbook.New(os.Stdout, 4096)
//	log := slog.New(slog.NewJSONHandler(book, nil))
//	defer book.Close()
package logbook

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// flushEvery is how long lines are gathered before they are written together: a
// write costs more than the line.
const flushEvery = 20 * time.Millisecond

// Book is an io.Writer for whole lines.
type Book struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
	quit    chan struct{}
}

// New returns a Book that writes to w and holds up to size lines.
func New(w io.Writer, size int) *Book {
	b := &Book{lines: make(chan []byte, size), done: make(chan struct{}), quit: make(chan struct{})}
	go b.run(w)
	return b
}

// Write queues one line. It never blocks and never fails.
func (b *Book) Write(line []byte) (int, error) {
	select {
	case b.lines <- bytes.Clone(line):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines found the queue full.
func (b *Book) Dropped() int64 { return b.dropped.Load() }

// Close writes what is queued.
func (b *Book) Close() {
	b.once.Do(func() { close(b.quit) })
	<-b.done
}

func (b *Book) run(w io.Writer) {
	defer close(b.done)
	var buf bytes.Buffer
	reported := int64(0)
	for {
		quitting := false
		select {
		case line := <-b.lines:
			buf.Write(line)
		case <-b.quit:
			quitting = true
		}
		if !quitting {
			time.Sleep(flushEvery)
		}
		for more := true; more; {
			select {
			case line := <-b.lines:
				buf.Write(line)
			default:
				more = false
			}
		}
		if dropped := b.dropped.Load(); dropped > reported {
			fmt.Fprintf(&buf, `{"level":"WARN","msg":"log lines dropped","count":%d}`+"\n", dropped-reported)
			reported = dropped
		}
		// There is nowhere to report that the log itself cannot be written.
		_, _ = w.Write(buf.Bytes())
		buf.Reset()
		if quitting {
			return
		}
	}
}
