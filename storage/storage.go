// Package storage is the only way in which cowslipgap meets what the platform
// provides: the transactional table, the object store, the list of hosts, and
// the workers with their endpoints. The wire protocol is HTTP with JSON bodies
// and is written down in docs/PLATFORM.md.
//
// Every call tells three results apart, because the callers' promises rest on
// the difference: it took effect (nil error), it certainly did not (an error
// that matches [ErrUnavailable], [ErrConflict] or [ErrRefused]), and nobody
// knows (an error that matches [ErrUnknown]).
//
// # Usage
//
//	c := storage.Client{Base: "http://127.0.0.1:7000"}
//	rows, next, err := c.Changes(ctx, "record/", 0)
//	if errors.Is(err, storage.ErrUnavailable) {
//		// The table is down. Try again later.
//	}
//
// The zero Client works once Base is set. A Client is safe for concurrent use.
package storage

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/cowslipgap/cowslipgap/quiet"
)

var (
	// ErrUnavailable says that the call had no effect: the platform refused it,
	// or it never left this process.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrConflict says that a transaction's condition did not hold; it had no effect.
	ErrConflict = errors.New("platform: conflict")
	// ErrUnknown says that the request was sent and no answer arrived; it may
	// have taken effect.
	ErrUnknown = errors.New("platform: outcome unknown")
	// ErrRefused says that a worker refused a start; nothing ran.
	ErrRefused = errors.New("platform: refused by worker")
	// ErrMissing says that the object or row does not exist.
	ErrMissing = errors.New("platform: does not exist")
)

const (
	maxIdleConnsPerTarget = 48
	idleConnTimeout       = 60 * time.Second
	dialTimeout           = 2 * time.Second
	maxReplyBytes         = 16 << 20
)

// Client talks to the platform and to the workers it lists.
type Client struct {
	// Base is the platform's URL, without a trailing slash.
	Base string
	// Timeout bounds one call to the table or the object store; 2 s if zero.
	Timeout time.Duration

	once sync.Once
	http *http.Client
}

// init builds the connection pool on first use, so that the zero Client works.
func (c *Client) init() {
	c.once.Do(func() {
		quiet.Library()
		if c.Timeout == 0 {
			c.Timeout = 2 * time.Second
		}
		dialer := net.Dialer{Timeout: dialTimeout}
		c.http = &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConns:        0,
			MaxIdleConnsPerHost: maxIdleConnsPerTarget,
			IdleConnTimeout:     idleConnTimeout,
		}}
	})
}

// Close drops the idle connections.
func (c *Client) Close() {
	c.init()
	c.http.CloseIdleConnections()
}

// call sends one request and decodes the reply into out, which may be nil.
func (c *Client) call(ctx context.Context, method, target string, in, out any) error {
	c.init()
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return errors.Wrapf(err, "encode request to %s", target)
		}
		body = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return errors.Wrapf(err, "build request to %s", target)
	}
	// A reused connection that the far side has just closed must not make the
	// transport send a start twice.
	r.GetBody = nil
	resp, err := httpc.NewServiceWithClient(r.URL.Host, c.http).DoRequest(r)
	if err != nil {
		return sendError(err, method, target)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return mark(ErrUnknown, "read reply of %s %s: %v", method, target, err)
	}
	return decodeReply(resp.StatusCode, data, method, target, out)
}

// sendError turns a transport error into ErrUnavailable where nothing can have
// been sent, and into ErrUnknown elsewhere.
func sendError(err error, method, target string) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return mark(ErrUnavailable, "%s %s: %v", method, target, err)
	}
	var urlErr *url.Error
	if !errors.As(err, &urlErr) && !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, context.Canceled) {
		// The circuit breaker refused before anything was sent.
		return mark(ErrUnavailable, "%s %s: %v", method, target, err)
	}
	return mark(ErrUnknown, "%s %s: %v", method, target, err)
}

// decodeReply maps the status code to this package's errors.
func decodeReply(status int, data []byte, method, target string, out any) error {
	switch status {
	case http.StatusOK:
		if out == nil {
			return nil
		}
		if err := json.Unmarshal(data, out); err != nil {
			return mark(ErrUnknown, "decode reply of %s %s: %v", method, target, err)
		}
		return nil
	case http.StatusNotFound:
		return mark(ErrMissing, "%s %s", method, target)
	case http.StatusConflict:
		return mark(ErrConflict, "%s %s: %s", method, target, data)
	case http.StatusPreconditionFailed:
		return mark(ErrRefused, "%s %s: %s", method, target, data)
	default:
		return mark(ErrUnavailable, "%s %s: status %d: %s", method, target, status, data)
	}
}

func mark(kind error, format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), kind)
}
