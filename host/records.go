package host

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipgap/cowslipgap/audit"
	"github.com/cowslipgap/cowslipgap/control"
	"github.com/cowslipgap/cowslipgap/gateway"
	"github.com/cowslipgap/cowslipgap/record"
	"github.com/cowslipgap/cowslipgap/refusal"
	"github.com/cowslipgap/cowslipgap/storage"
)

// recordStore reads and writes operators' records in the table.
type recordStore struct{ host *Host }

// List returns the records of a kind from the table, or all records if kind is
// empty.
func (c *recordStore) List(ctx context.Context, kind string) ([]record.Record, *refusal.Refusal) {
	rows, err := c.host.platform.Scan(ctx, record.Prefix(kind))
	if err != nil {
		return nil, tableRefusal(err)
	}
	list := make([]record.Record, 0, len(rows))
	for _, row := range rows {
		var r record.Record
		if json.Unmarshal(row.Value, &r) == nil {
			list = append(list, r)
		}
	}
	return list, nil
}

// Get returns a record under all its schemas, and the hosts that have not
// applied its last change yet.
func (c *recordStore) Get(ctx context.Context, kind, name string) ([]record.Record, []string, *refusal.Refusal) {
	rows, err := c.host.platform.Scan(ctx, record.Prefix(kind)+name+"/")
	if err != nil {
		return nil, nil, tableRefusal(err)
	}
	if len(rows) == 0 {
		return nil, nil, refusal.New(refusal.NotFound, "record %s/%s does not exist", kind, name)
	}
	var list []record.Record
	newest := uint64(0)
	for _, row := range rows {
		var r record.Record
		if json.Unmarshal(row.Value, &r) == nil {
			list = append(list, r)
		}
		newest = max(newest, row.Revision)
	}
	waiting, r := c.pendingHosts(ctx, newest)
	return list, waiting, r
}

// pendingHosts returns the live hosts that have not applied the revision.
func (c *recordStore) pendingHosts(ctx context.Context, revision uint64) ([]string, *refusal.Refusal) {
	hosts, r := c.host.readHosts(ctx)
	if r != nil {
		return nil, r
	}
	waiting := []string{}
	for _, h := range hosts {
		if h.RecordsRevision < revision {
			waiting = append(waiting, h.Name)
		}
	}
	return waiting, nil
}

// Put writes a record on condition that its current revision is the expected
// one, which is 0 for a new record.
func (c *recordStore) Put(ctx context.Context, r record.Record, expected uint64) (record.Record, *refusal.Refusal) {
	r, err := r.HashSecret()
	if err == nil {
		err = r.Validate()
	}
	if err != nil {
		return record.Record{}, recordRefusal(err)
	}
	row, before, refused := c.readCurrent(ctx, r)
	if refused != nil {
		return record.Record{}, refused
	}
	if current := revisionOf(before); current != expected {
		return record.Record{}, refusal.New(refusal.RevisionConflict, "%s has revision %d, and the change is based on revision %d; read the record again", r.ID(), current, expected)
	}
	after := nextRevision(r, before)
	return after, c.commitChanges(ctx, []recordChange{{row, before, after}})
}

// Withdraw withdraws a record under every schema, on condition that the
// revision under the newest known schema is the expected one. The data under
// each schema stays unchanged.
func (c *recordStore) Withdraw(ctx context.Context, kind, name, by string, expected uint64) (record.Record, *refusal.Refusal) {
	rows, err := c.host.platform.Scan(ctx, record.Prefix(kind)+name+"/")
	if err != nil {
		return record.Record{}, tableRefusal(err)
	}
	var changes []recordChange
	var newest record.Record
	for _, row := range rows {
		var before record.Record
		if json.Unmarshal(row.Value, &before) != nil {
			continue
		}
		r := before
		r.By, r.Withdrawn = by, true
		after := nextRevision(r, &before)
		changes = append(changes, recordChange{row, &before, after})
		if before.Known() && before.Schema > newest.Schema {
			newest = after
		}
	}
	if len(changes) == 0 {
		return record.Record{}, refusal.New(refusal.NotFound, "record %s/%s does not exist", kind, name)
	}
	if current := newest.Revision - 1; current != expected {
		return record.Record{}, refusal.New(refusal.RevisionConflict, "%s has revision %d, and the change is based on revision %d; read the record again", newest.ID(), current, expected)
	}
	return newest, c.commitChanges(ctx, changes)
}

// recordChange is a record to write and the row that it replaces.
type recordChange struct {
	row    storage.Row
	before *record.Record // nil if the record is new
	after  record.Record
}

// readCurrent returns the row that holds r and the record in it. If there is
// none, the record is nil and the row has only a key.
func (c *recordStore) readCurrent(ctx context.Context, r record.Record) (storage.Row, *record.Record, *refusal.Refusal) {
	row, err := c.host.platform.Get(ctx, r.RowKey())
	if errors.Is(err, storage.ErrMissing) {
		return storage.Row{Key: r.RowKey()}, nil, nil
	}
	if err != nil {
		return storage.Row{}, nil, tableRefusal(err)
	}
	var before record.Record
	if err := json.Unmarshal(row.Value, &before); err != nil {
		return storage.Row{}, nil, refusal.New(refusal.BadRequest, "row %s cannot be decoded: %v", r.RowKey(), err)
	}
	return row, &before, nil
}

// revisionOf returns the revision of r, or 0 if r is nil.
func revisionOf(r *record.Record) uint64 {
	if r == nil {
		return 0
	}
	return r.Revision
}

// nextRevision returns r with the revision that follows before, the current
// time and a new write ID.
func nextRevision(r record.Record, before *record.Record) record.Record {
	r.Revision = revisionOf(before) + 1
	r.At = time.Now().UTC()
	r.WriteID = strings.ToLower(rand.Text())
	return r
}

// commitChanges writes the changes and their audit entries in one transaction.
func (c *recordStore) commitChanges(ctx context.Context, changes []recordChange) *refusal.Refusal {
	var tx storage.Tx
	for _, ch := range changes {
		value, err := json.Marshal(ch.after)
		if err != nil {
			return recordRefusal(err)
		}
		entry, err := audit.Entry{By: ch.after.By, At: ch.after.At, Before: ch.before, After: ch.after}.Put()
		if err != nil {
			return recordRefusal(err)
		}
		tx.Checks = append(tx.Checks, storage.Check{Key: ch.after.RowKey(), Revision: ch.row.Revision})
		tx.Puts = append(tx.Puts, storage.Put{Key: ch.after.RowKey(), Value: value}, entry)
	}
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	first := tx.Puts[0]
	_, err := c.host.commit(ctx, tx, first.Key, first.Value)
	if err != nil {
		return tableRefusal(err)
	}
	c.host.Log.Info("records: changed", "record", changes[0].after.ID(), "revision", changes[0].after.Revision, "by", changes[0].after.By)
	return nil
}

// History returns the audit entries of a record, oldest first, or those of all
// records if id is empty.
func (c *recordStore) History(ctx context.Context, id string) ([]audit.Entry, *refusal.Refusal) {
	rows, err := c.host.platform.Scan(ctx, audit.Prefix(id))
	if err != nil {
		return nil, tableRefusal(err)
	}
	list := make([]audit.Entry, 0, len(rows))
	for _, row := range rows {
		if e, err := audit.Decode(row); err == nil {
			list = append(list, e)
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].At.Before(list[j].At) })
	return list, nil
}

// tableRefusal returns the refusal for a failed read or write of the table.
func tableRefusal(err error) *refusal.Refusal {
	switch {
	case errors.Is(err, storage.ErrConflict):
		return refusal.New(refusal.RevisionConflict, "another operator has changed the record; read it again")
	case errors.Is(err, storage.ErrUnavailable):
		return refusal.New(refusal.TableUnavailable, "the table is unreachable; nothing was changed").WithRetryAfter(time.Second)
	default:
		return refusal.New(refusal.OutcomeLost, "the table did not answer; read the record to see whether the change was made").WithRetryAfter(time.Second)
	}
}

// recordRefusal returns the refusal for an invalid record.
func recordRefusal(err error) *refusal.Refusal {
	code := refusal.BadRequest
	if errors.Is(err, record.ErrUnknownSchema) {
		code = refusal.UnsupportedSchema
	}
	return refusal.New(code, "%v", err)
}

// readHosts reads the live entry hosts of every zone from the table.
func (h *Host) readHosts(ctx context.Context) ([]gateway.EntryHost, *refusal.Refusal) {
	rows, err := h.platform.Scan(ctx, "zone/")
	if err != nil {
		return nil, tableRefusal(err)
	}
	var list []gateway.EntryHost
	for _, row := range rows {
		parts := strings.Split(row.Key, "/")
		var heartbeat control.HeartbeatRow
		if len(parts) != 4 || parts[2] != "beat" || json.Unmarshal(row.Value, &heartbeat) != nil {
			continue
		}
		list = append(list, gateway.EntryHost{
			Name: heartbeat.Name, Zone: parts[1], Session: parts[3], HTTPAddr: heartbeat.HTTPAddr, PeerAddr: heartbeat.PeerAddr,
			RecordsRevision: heartbeat.Records, Leaving: heartbeat.Leaving,
		})
	}
	return list, nil
}

// listHosts returns the entry hosts, and the workers that the platform lists.
func (h *Host) listHosts(ctx context.Context) ([]gateway.EntryHost, []storage.Worker, *refusal.Refusal) {
	hosts, r := h.readHosts(ctx)
	if r != nil {
		return nil, nil, r
	}
	list, err := h.platform.Workers(ctx, "", 0)
	if err != nil {
		return nil, nil, tableRefusal(err)
	}
	for i := range list.Workers {
		if h.catalog.Load().Drained(list.Workers[i].Name) {
			list.Workers[i].State = "draining"
		}
	}
	return hosts, list.Workers, nil
}
