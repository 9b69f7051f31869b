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

// records reads and writes the operators' records in the table.
type records struct{ host *Host }

// List returns the records of a kind, or all, as they stand in the table.
func (c *records) List(ctx context.Context, kind string) ([]record.Record, *refusal.Refusal) {
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

// Get returns a record under all its schemas, and the hosts that have not taken
// its last change yet.
func (c *records) Get(ctx context.Context, kind, name string) ([]record.Record, []string, *refusal.Refusal) {
	rows, err := c.host.platform.Scan(ctx, record.Prefix(kind)+name+"/")
	if err != nil {
		return nil, nil, tableRefusal(err)
	}
	if len(rows) == 0 {
		return nil, nil, refusal.New(refusal.NotFound, "there is no record %s/%s", kind, name)
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
	waiting, r := c.waitingFor(ctx, newest)
	return list, waiting, r
}

// waitingFor returns the live hosts that have not taken the revision.
func (c *records) waitingFor(ctx context.Context, revision uint64) ([]string, *refusal.Refusal) {
	hosts, r := c.host.readHosts(ctx)
	if r != nil {
		return nil, r
	}
	waiting := []string{}
	for _, h := range hosts {
		if h.Records < revision {
			waiting = append(waiting, h.Name)
		}
	}
	return waiting, nil
}

// Put writes a record on condition that its revision is still the one that the
// operator saw, 0 for a new one.
func (c *records) Put(ctx context.Context, r record.Record, seen uint64) (record.Record, *refusal.Refusal) {
	r, err := r.SealSecret()
	if err == nil {
		err = r.Validate()
	}
	if err != nil {
		return record.Record{}, recordRefusal(err)
	}
	row, before, refused := c.read(ctx, r)
	if refused != nil {
		return record.Record{}, refused
	}
	if have := revisionOf(before); have != seen {
		return record.Record{}, refusal.New(refusal.RevisionConflict, "%s is at revision %d, and the change was made for revision %d; read it again", r.ID(), have, seen)
	}
	after := stamp(r, before)
	return after, c.write(ctx, []change{{row, before, after}})
}

// Withdraw takes a record out of force under every schema, on condition that
// the revision of the newest known schema is still the one that the operator
// saw. The data of the versions stays as it is.
func (c *records) Withdraw(ctx context.Context, kind, name, by string, seen uint64) (record.Record, *refusal.Refusal) {
	rows, err := c.host.platform.Scan(ctx, record.Prefix(kind)+name+"/")
	if err != nil {
		return record.Record{}, tableRefusal(err)
	}
	var changes []change
	var newest record.Record
	for _, row := range rows {
		var before record.Record
		if json.Unmarshal(row.Value, &before) != nil {
			continue
		}
		r := before
		r.By, r.Withdrawn = by, true
		after := stamp(r, &before)
		changes = append(changes, change{row, &before, after})
		if before.Known() && before.Schema > newest.Schema {
			newest = after
		}
	}
	if len(changes) == 0 {
		return record.Record{}, refusal.New(refusal.NotFound, "there is no record %s/%s", kind, name)
	}
	if have := newest.Revision - 1; have != seen {
		return record.Record{}, refusal.New(refusal.RevisionConflict, "%s is at revision %d, and the change was made for revision %d; read it again", newest.ID(), have, seen)
	}
	return newest, c.write(ctx, changes)
}

// change is one record to write, with the row that it replaces.
type change struct {
	row    storage.Row
	before *record.Record
	after  record.Record
}

func (c *records) read(ctx context.Context, r record.Record) (storage.Row, *record.Record, *refusal.Refusal) {
	row, err := c.host.platform.Get(ctx, r.RowKey())
	if errors.Is(err, storage.ErrMissing) {
		return storage.Row{Key: r.RowKey()}, nil, nil
	}
	if err != nil {
		return storage.Row{}, nil, tableRefusal(err)
	}
	var before record.Record
	if err := json.Unmarshal(row.Value, &before); err != nil {
		return storage.Row{}, nil, refusal.New(refusal.BadRequest, "%s cannot be read: %v", r.RowKey(), err)
	}
	return row, &before, nil
}

func revisionOf(r *record.Record) uint64 {
	if r == nil {
		return 0
	}
	return r.Revision
}

func stamp(r record.Record, before *record.Record) record.Record {
	r.Revision = revisionOf(before) + 1
	r.At = time.Now().UTC()
	r.WriteID = strings.ToLower(rand.Text())
	return r
}

// write commits changes together with their audit entries.
func (c *records) write(ctx context.Context, changes []change) *refusal.Refusal {
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

// History returns the audit entries of a record, or of all, the oldest first.
func (c *records) History(ctx context.Context, id string) ([]audit.Entry, *refusal.Refusal) {
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

func tableRefusal(err error) *refusal.Refusal {
	switch {
	case errors.Is(err, storage.ErrConflict):
		return refusal.New(refusal.RevisionConflict, "another operator changed the record meanwhile; read it again")
	case errors.Is(err, storage.ErrUnavailable):
		return refusal.New(refusal.TableUnavailable, "the table is out of reach; nothing was changed").After(time.Second)
	default:
		return refusal.New(refusal.OutcomeLost, "the table did not answer; read the record to see whether the change was made").After(time.Second)
	}
}

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
		var b control.BeatRow
		if len(parts) != 4 || parts[2] != "beat" || json.Unmarshal(row.Value, &b) != nil {
			continue
		}
		list = append(list, gateway.EntryHost{
			Name: b.Name, Zone: parts[1], Session: parts[3], HTTPAddr: b.HTTPAddr, PeerAddr: b.PeerAddr,
			Records: b.Records, Leaving: b.Leaving,
		})
	}
	return list, nil
}

// listHosts returns the entry hosts, and the workers that the platform lists.
func (h *Host) listHosts(ctx context.Context) ([]gateway.EntryHost, []storage.Host, *refusal.Refusal) {
	hosts, r := h.readHosts(ctx)
	if r != nil {
		return nil, nil, r
	}
	list, err := h.platform.Hosts(ctx, "", 0)
	if err != nil {
		return nil, nil, tableRefusal(err)
	}
	for i := range list.Hosts {
		if h.catalog.Load().Drained(list.Hosts[i].Name) {
			list.Hosts[i].State = "draining"
		}
	}
	return hosts, list.Hosts, nil
}
