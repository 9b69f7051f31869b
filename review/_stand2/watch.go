package main

import (
	"bytes"
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync"
	"time"
)

// start is the last start of a task that a worker has answered with 200.
type start struct {
	worker int
	run    uint64
	at     time.Time
}

// watch stands in front of the workers and records the starts that they confirm. It changes
// nothing that passes.
type watch struct {
	mu     sync.Mutex
	starts map[string]start // by task
	next   int
	record *record
}

// proxyAddr is a platformtest.Platform.ProxyAddr. The workers ask in the order of their indexes.
func (w *watch) proxyAddr(addr string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	w.mu.Lock()
	index := w.next
	w.next++
	w.mu.Unlock()
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: addr})
	proxy.ErrorLog = log.New(io.Discard, "", 0)
	// A worker that is down gives no answer: the connection is closed.
	proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	proxy.ModifyResponse = func(resp *http.Response) error {
		if cmd, ok := resp.Request.Context().Value(startKey{}).(startCommand); ok && resp.StatusCode == http.StatusOK {
			w.started(cmd, index)
		}
		return nil
	}
	server := &http.Server{ReadHeaderTimeout: time.Second, ErrorLog: log.New(io.Discard, "", 0), Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/-/run-start" {
			r = withStart(r)
		}
		proxy.ServeHTTP(rw, r)
	})}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (w *watch) started(cmd startCommand, worker int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.starts == nil {
		w.starts = map[string]start{}
	}
	w.starts[cmd.Task] = start{worker: worker, run: cmd.Run, at: time.Now()}
	w.record.add("run %d of %s starts on worker %d", cmd.Run, cmd.Task, worker)
}

// on returns the tasks whose last start was on the worker.
func (w *watch) on(worker int) map[string]start {
	w.mu.Lock()
	defer w.mu.Unlock()
	tasks := map[string]start{}
	for task, s := range w.starts {
		if s.worker == worker {
			tasks[task] = s
		}
	}
	return tasks
}

// last returns the last start of the task.
func (w *watch) last(task string) start {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[task]
}

// startCommand is what is read of a command to start a task.
type startCommand struct {
	Task string `json:"task"`
	Run  uint64 `json:"run"`
}

type startKey struct{}

// withStart reads the command and puts it into the context of the request.
func withStart(r *http.Request) *http.Request {
	body, err := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	var cmd startCommand
	if err != nil || json.Unmarshal(body, &cmd) != nil {
		return r
	}
	return r.WithContext(contextWithStart(r.Context(), cmd))
}
