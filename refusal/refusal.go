// Package refusal defines the error that a caller gets in place of an answer. It
// has a stable code and says whether the work ran and when to try again.
//
// # Usage
//
//	return refusal.New(refusal.Overloaded, "42 requests wait").WithRetryAfter(2 * time.Second)
//
//	var r *refusal.Refusal
//	if errors.As(err, &r) && r.Ran == refusal.NotRun {
//		// It is safe to send the request again.
//	}
package refusal

import (
	"fmt"
	"net/http"
	"time"
)

// Values of Refusal.Ran.
const (
	NotRun  = "notRun"         // the work certainly did not run
	Unknown = "outcomeUnknown" // the work may have run
	Failed  = "failed"         // the work ran and failed
)

// Codes of refusals. They are part of the public API.
const (
	BadRequest        = "badRequest"
	TooLarge          = "tooLarge"
	NoKey             = "noKey"
	BadKey            = "badKey"
	KeyWithdrawn      = "keyWithdrawn"
	KeyUnconfirmed    = "keyUnconfirmed"
	Forbidden         = "forbidden"
	NotFound          = "notFound"
	RequestIDReused   = "requestIdReused"
	NeverFits         = "neverFits"
	QueueFull         = "queueFull"
	Overloaded        = "overloaded"
	DeadlinePassed    = "deadlinePassed"
	TableUnavailable  = "tableUnavailable"
	NoOwner           = "noOwner"
	Leaving           = "leaving"
	Cancelled         = "cancelled"
	TaskFailed        = "taskFailed"
	OutcomeLost       = "outcomeLost"
	RevisionConflict  = "revisionConflict"
	NotReady          = "notReady"
	UnsupportedSchema = "unsupportedSchema"
)

// Refusal is the error answer to a call. It implements error.
type Refusal struct {
	Code        string `json:"code"`
	Message     string `json:"message"`
	Ran         string `json:"ran"`                   // NotRun, Unknown or Failed
	RetryMillis int64  `json:"retryMillis,omitempty"` // time until the next try; if zero, do not try again
}

// New returns a refusal with a formatted message. It says that the work did not
// run, except for TaskFailed, where the work failed, and OutcomeLost, where the
// outcome is unknown.
func New(code, format string, args ...any) *Refusal {
	ran := NotRun
	switch code {
	case TaskFailed:
		ran = Failed
	case OutcomeLost:
		ran = Unknown
	}
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...), Ran: ran}
}

// WithRetryAfter sets the time until the next try, at least 1 ms, and returns r.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	r.RetryMillis = max(1, d.Milliseconds())
	return r
}

// Error returns the code and the message.
func (r *Refusal) Error() string { return r.Code + ": " + r.Message }

// Status returns the HTTP status code for the refusal.
func (r *Refusal) Status() int {
	switch r.Code {
	case BadRequest, UnsupportedSchema:
		return http.StatusBadRequest
	case TooLarge:
		return http.StatusRequestEntityTooLarge
	case NoKey, BadKey, KeyWithdrawn:
		return http.StatusUnauthorized
	case Forbidden:
		return http.StatusForbidden
	case NotFound:
		return http.StatusNotFound
	case RequestIDReused, RevisionConflict, Cancelled:
		return http.StatusConflict
	case NeverFits:
		return http.StatusUnprocessableEntity
	case QueueFull, Overloaded:
		return http.StatusTooManyRequests
	case DeadlinePassed:
		return http.StatusGatewayTimeout
	case TaskFailed, OutcomeLost:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}
