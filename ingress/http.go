package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// firstRead is the size of the buffer for a body before any of it is read.
	firstRead = 4 << 10
	// lingerTime is how long the rest of a body is read and dropped before the answer: a
	// client that still writes when the connection is closed may not read the answer.
	lingerTime = 250 * time.Millisecond
	// maxDropped bounds what is read and dropped of a body.
	maxDropped = 8 << 20
	// headerLineBytes is what a header line takes beside its text.
	headerLineBytes = 100
)

var (
	// ErrTooLarge reports that a body is larger than allowed.
	ErrTooLarge = errors.New("ingress: body too large")
	// ErrBusy reports that there is no room for a body, or that it gave way to other
	// requests.
	ErrBusy = errors.New("ingress: too many requests in progress")
)

// connKey is the key of the Conn in the context of a request.
type connKey struct{}

// ConnContext is for the field of the same name of http.Server.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// connOf returns the connection of a request, or nil if it did not come through a Port.
func connOf(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}

// ConnState is for the field of the same name of http.Server.
func (p *Port) ConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if ok && state == http.StateIdle {
		c.Rest()
	}
}

// Handler returns a handler that accounts for requests and passes them on to next.
func (p *Port) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		c.endHead(HeaderBytes(r) + headerLineBytes*int64(len(r.Header)))
		if r.ContentLength == 0 {
			c.Complete()
		}
		out := &responseWriter{ResponseWriter: w, conn: c, request: r, dropsBody: 0 < r.ContentLength && r.ContentLength <= firstRead}
		next.ServeHTTP(out, r)
		out.end()
	})
}

// HeaderBytes returns the size of the head of a request.
func HeaderBytes(r *http.Request) int64 {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + len(": \r\n")
		}
	}
	return int64(n)
}

// responseWriter closes the connection after an answer to a request whose body has not
// been read, unless the body is so small that it has probably come.
type responseWriter struct {
	http.ResponseWriter
	conn      *Conn
	request   *http.Request
	dropsBody bool // the server reads the rest of the body before it answers
	stopped   bool // the body has stopped coming
	ended     bool
}

// end reads and drops the rest of the body, and bounds how long that takes.
func (w *responseWriter) end() {
	if w.ended || w.conn.completed() {
		return
	}
	w.ended = true
	if !w.dropsBody {
		w.Header().Set("Connection", "close")
	}
	_ = http.NewResponseController(w.ResponseWriter).SetReadDeadline(time.Now().Add(lingerTime)) // it fails if the connection is closed
	if w.stopped || w.request.Header.Get("Expect") != "" {
		// A client that waits for leave to write does not write.
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(w.request.Body, maxDropped)) // what fails is not read
}

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	w.stopped = status == http.StatusRequestTimeout
	w.end()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.end()
	return w.ResponseWriter.Write(p)
}

// Unwrap is for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// ReadBody reads the body of a request, of limit bytes at most, until the given time. The
// errors are ErrTooLarge, ErrBusy, and those of the connection.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, until time.Time) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, ErrTooLarge
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	c := connOf(r)
	if c == nil {
		return readAll(r, limit, func(int64) bool { return true })
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(until); err != nil {
		return nil, errors.Wrap(err, "bound the time of the body")
	}
	body, err := readAll(r, limit, c.Hold)
	if c.gaveWay() || err == nil && !c.Complete() {
		err = ErrBusy
	}
	if err != nil {
		c.release()
		return nil, err
	}
	// A deadline would end the request while it is served.
	return body, errors.Wrap(control.SetReadDeadline(time.Time{}), "end the time of the body")
}

// readAll reads a body of limit bytes at most. Before it takes more memory, it asks hold
// whether there is room for it.
func readAll(r *http.Request, limit int64, hold func(int64) bool) ([]byte, error) {
	most := limit + 1
	if r.ContentLength > 0 {
		most = r.ContentLength + 1
	}
	body := make([]byte, 0, min(firstRead, most))
	for {
		if len(body) == cap(body) {
			size := min(2*int64(cap(body)), most)
			if !hold(size + int64(len(body))) {
				return nil, ErrBusy
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, ErrTooLarge
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, errors.Wrap(err, "read body")
		}
	}
}

// Hold sets the bytes that a request holds, and reports whether there is room for them.
func Hold(r *http.Request, n int64) bool {
	c := connOf(r)
	return c == nil || c.Hold(n)
}
