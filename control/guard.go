package control

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/cowslipgap/cowslipgap/refusal"
	"github.com/cowslipgap/cowslipgap/segment"
)

// guardRow is the row that stands for a caller's request id.
type guardRow struct {
	Hash string `json:"hash"`          // of the request's body
	Job  string `json:"job,omitempty"` // the job that was accepted under the id
}

func newGuard(team, requestID string, row guardRow) *segment.Guard {
	value, _ := json.Marshal(row) // two strings always encode
	return &segment.Guard{Key: "request/" + team + "/" + requestID, Value: value}
}

// decodeGuard returns the row that was in the way of a guard.
func decodeGuard(r segment.Result) (guardRow, bool) {
	var row guardRow
	if !errors.Is(r.Err, segment.ErrGuarded) || json.Unmarshal(r.Existing, &row) != nil {
		return guardRow{}, false
	}
	return row, true
}

// guardRefusal turns the result of a guarded write into what the caller is told.
func guardRefusal(r segment.Result, hash string) *refusal.Refusal {
	existing, ok := decodeGuard(r)
	switch {
	case !ok:
		return journalRefusal(r)
	case existing.Hash != hash:
		return refusal.New(refusal.RequestIDReused, "the request id has been used with another body")
	default:
		return refusal.New(refusal.OutcomeLost, "the request has been submitted before, and its answer is not kept here")
	}
}
