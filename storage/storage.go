// Package storage is the client for the services of the platform: the
// transactional table, the object store, the list of workers, and the workers with
// their endpoints. All access to these services goes through it. The wire
// protocol is HTTP with JSON bodies and is specified in docs/PLATFORM.md.
//
// Every call has one of three results: it took effect (nil error), it certainly
// did not (an error that matches [ErrUnavailable], [ErrConflict] or
// [ErrRefused]), or the outcome is unknown (an error that matches [ErrUnknown]).
// The guarantees of the packages that use a Client depend on this distinction.
//
// # Usage
//
//	c := storage.Client{BaseURL: "http://127.0.0.1:7000"}
//	rows, next, err := c.Changes(ctx, "record/", 0)
//	if errors.Is(err, storage.ErrUnavailable) {
//		// The table is down. Try again later.
//	}
//
// The zero Client works once BaseURL is set. A Client is safe for concurrent use.
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

	"github.com/cowslipgap/cowslipgap/httplog"
)

var (
	// ErrUnavailable means that the call had no effect: the platform refused
	// it, or it never left this process.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrConflict means that a condition of a transaction did not hold. The
	// transaction had no effect.
	ErrConflict = errors.New("platform: conflict")
	// ErrUnknown means that the request was sent and no usable answer arrived.
	// It may have taken effect.
	ErrUnknown = errors.New("platform: outcome unknown")
	// ErrRefused means that a worker refused a start. Nothing ran.
	ErrRefused = errors.New("platform: refused by worker")
	// ErrMissing means that the object or row does not exist.
	ErrMissing = errors.New("platform: does not exist")
)

const (
	maxIdleConnsPerTarget = 48
	idleConnTimeout       = 60 * time.Second
	dialTimeout           = 2 * time.Second
	maxReplyBytes         = 16 << 20
)

// Client calls the platform and the workers that the platform lists.
type Client struct {
	// BaseURL is the platform's URL, without a trailing slash.
	BaseURL string
	// Timeout bounds one call to the table or the object store; 2 s if zero.
	Timeout time.Duration

	once sync.Once
	http *http.Client
}

// init creates the HTTP client on first use, so that a Client with only BaseURL
// set works.
func (c *Client) init() {
	c.once.Do(func() {
		httplog.Disable()
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

// Close closes the idle connections.
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
	// Without GetBody, the transport does not send a start again when the server
	// has just closed a reused connection.
	r.GetBody = nil
	resp, err := httpc.NewServiceWithClient(r.URL.Host, c.http).DoRequest(r)
	if err != nil {
		return sendError(err, method, target)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return newError(ErrUnknown, "read reply of %s %s: %v", method, target, err)
	}
	return decodeReply(resp.StatusCode, data, method, target, out)
}

// sendError marks a transport error with ErrUnavailable if nothing can have
// been sent, and with ErrUnknown otherwise.
func sendError(err error, method, target string) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return newError(ErrUnavailable, "%s %s: %v", method, target, err)
	}
	var urlErr *url.Error
	if !errors.As(err, &urlErr) && !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, context.Canceled) {
		// The circuit breaker refused the call before anything was sent.
		return newError(ErrUnavailable, "%s %s: %v", method, target, err)
	}
	return newError(ErrUnknown, "%s %s: %v", method, target, err)
}

// decodeReply decodes a reply into out, or maps its status code to one of this
// package's errors.
func decodeReply(status int, data []byte, method, target string, out any) error {
	switch status {
	case http.StatusOK:
		if out == nil {
			return nil
		}
		if err := json.Unmarshal(data, out); err != nil {
			return newError(ErrUnknown, "decode reply of %s %s: %v", method, target, err)
		}
		return nil
	case http.StatusNotFound:
		return newError(ErrMissing, "%s %s", method, target)
	case http.StatusConflict:
		return newError(ErrConflict, "%s %s: %s", method, target, data)
	case http.StatusPreconditionFailed:
		return newError(ErrRefused, "%s %s: %s", method, target, data)
	default:
		return newError(ErrUnavailable, "%s %s: status %d: %s", method, target, status, data)
	}
}

// newError returns an error with a formatted message that matches kind.
func newError(kind error, format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), kind)
}
