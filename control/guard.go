package control

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/cowslipgap/cowslipgap/refusal"
	"github.com/cowslipgap/cowslipgap/segment"
)

// requestRow is the table row that records a caller's request ID.
type requestRow struct {
	Hash string `json:"hash"`          // hash of the request body
	Job  string `json:"job,omitempty"` // the job that was accepted under the ID
}

// newRequestGuard returns the guard that records a request ID in the table.
func newRequestGuard(team, requestID string, row requestRow) *segment.Guard {
	value, _ := json.Marshal(row) // a struct of two strings always encodes
	return &segment.Guard{Key: "request/" + team + "/" + requestID, Value: value}
}

// decodeRequestRow returns the row that already existed for a guard.
func decodeRequestRow(r segment.Result) (requestRow, bool) {
	var row requestRow
	if !errors.Is(r.Err, segment.ErrGuarded) || json.Unmarshal(r.Existing, &row) != nil {
		return requestRow{}, false
	}
	return row, true
}

// guardRefusal returns the refusal for a failed guarded write, or nil.
func guardRefusal(r segment.Result, hash string) *refusal.Refusal {
	existing, ok := decodeRequestRow(r)
	switch {
	case !ok:
		return journalRefusal(r)
	case existing.Hash != hash:
		return refusal.New(refusal.RequestIDReused, "the request id has been used with another body")
	default:
		return refusal.New(refusal.OutcomeLost, "the request was submitted before, and this host does not have its answer")
	}
}
