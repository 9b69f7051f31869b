// Package refusal is the error that a caller gets in place of an answer. It has
// a stable code, tells whether the work ran, and when to try again.
//
// # Usage
//
//	return refusal.New(refusal.Overloaded, "42 requests wait").After(2 * time.Second)
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

// What is known about the effect of refused work.
const (
	NotRun  = "notRun"         // certainly nothing ran
	Unknown = "outcomeUnknown" // it may have run
	Failed  = "failed"         // it ran and failed
)

// Codes of refusals. They are part of the product's interface.
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

// Refusal says why work was not answered.
type Refusal struct {
	Code        string `json:"code"`
	Message     string `json:"message"`
	Ran         string `json:"ran"`
	RetryMillis int64  `json:"retryMillis,omitempty"` // when to try again; never if zero
}

// New returns a refusal that says the work did not run, or, for the codes that
// come after a start, what is known of it.
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

// After sets when to try again.
func (r *Refusal) After(d time.Duration) *Refusal {
	r.RetryMillis = max(1, d.Milliseconds())
	return r
}

// Error implements error.
func (r *Refusal) Error() string { return r.Code + ": " + r.Message }

// Status returns the HTTP status code that goes with the refusal.
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
