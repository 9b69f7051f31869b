// Package audit defines the entries of the audit trail: who changed which record
// and when, with the record before and after the change. An entry is written in
// the same transaction as the change, so that neither exists without the other.
//
// # Usage
//
//	put, err := audit.Entry{By: "ops", At: now, Before: &old, After: r}.Put()
package audit

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipgap/cowslipgap/record"
	"github.com/cowslipgap/cowslipgap/storage"
)

const keyPrefix = "audit/"

// ErrMalformed means that a row is not an audit entry.
var ErrMalformed = errors.New("audit: malformed entry")

// Entry is one change of a record.
type Entry struct {
	By     string         `json:"by"`
	At     time.Time      `json:"at"`
	Before *record.Record `json:"before,omitempty"` // nil if the record is new
	After  record.Record  `json:"after"`
}

// Prefix returns the prefix of the row keys of the entries for a record, or for
// all records if id is empty.
func Prefix(id string) string {
	if id == "" {
		return keyPrefix
	}
	return keyPrefix + id + "/"
}

// Put returns the write that adds the entry to the platform's table.
func (e Entry) Put() (storage.Put, error) {
	value, err := json.Marshal(e)
	if err != nil {
		return storage.Put{}, errors.Wrapf(err, "encode audit entry for %s", e.After.ID())
	}
	key := fmt.Sprintf("%s%s/%d/%010d", keyPrefix, e.After.ID(), e.After.Schema, e.After.Revision)
	return storage.Put{Key: key, Value: value}, nil
}

// Decode decodes an entry from its row.
func Decode(row storage.Row) (Entry, error) {
	var e Entry
	if err := json.Unmarshal(row.Value, &e); err != nil {
		return Entry{}, errors.Mark(errors.Wrapf(err, "decode %s", row.Key), ErrMalformed)
	}
	return e, nil
}
