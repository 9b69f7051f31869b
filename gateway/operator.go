package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/zeromicro/go-zero/rest/pathvar"

	"github.com/cowslipgap/cowslipgap/audit"
	"github.com/cowslipgap/cowslipgap/record"
	"github.com/cowslipgap/cowslipgap/refusal"
	"github.com/cowslipgap/cowslipgap/storage"
)

// operatorHeader names the operator for the audit trail.
const operatorHeader = "X-Operator"

// RecordBody is the body of a call that writes a record. Revision is the
// revision that the operator has read, 0 for a new record.
type RecordBody struct {
	Schema   int             `json:"schema"`
	Revision uint64          `json:"revision"`
	Data     json.RawMessage `json:"data"`
}

// RecordState is a record as operators read it. It is accepted once WaitingFor
// is empty, and pending before.
type RecordState struct {
	Versions   []record.Record `json:"versions"`
	State      string          `json:"state"`      // "pending" or "accepted"
	WaitingFor []string        `json:"waitingFor"` // entry hosts that have not applied the last change
}

// HostLists holds the entry hosts and the workers.
type HostLists struct {
	EntryHosts []EntryHost      `json:"entryHosts"`
	Workers    []storage.Worker `json:"workers"`
}

// operatorName returns the operator's name from the header of a call, cut to 64
// bytes, or "operator" if the header is empty.
func operatorName(r *http.Request) string {
	if name := r.Header.Get(operatorHeader); name != "" {
		return name[:min(len(name), 64)]
	}
	return "operator"
}

func (g *Gateway) listRecords(w http.ResponseWriter, r *http.Request) {
	kind := r.URL.Query().Get("kind")
	if kind != "" && record.NewestSchema(kind) == 0 {
		writeRefusal(w, refusal.New(refusal.BadRequest, "kind %q does not exist", kind))
		return
	}
	list, refused := g.Records.List(r.Context(), kind)
	if refused != nil {
		writeRefusal(w, refused)
		return
	}
	for i := range list {
		list[i] = hideSecret(list[i])
	}
	writeJSON(w, http.StatusOK, map[string][]record.Record{"records": list})
}

// hideSecret removes the secret's hash and salt from a key record, for display.
// It returns other records unchanged.
func hideSecret(r record.Record) record.Record {
	if r.Kind != record.KindKey {
		return r
	}
	k, err := r.Key()
	if err != nil {
		r.Data = nil
		return r
	}
	r.Data, _ = json.Marshal(map[string]any{"team": k.Team, "maxStaleMillis": k.MaxStaleMillis}) // cannot fail for a string and an integer
	return r
}

// recordID returns the kind and name of the record in the path of a call. If
// they are invalid, it writes a refusal and returns false.
func recordID(w http.ResponseWriter, r *http.Request) (kind, name string, ok bool) {
	vars := pathvar.Vars(r)
	kind, name, err := record.ParseID(vars["kind"] + "/" + vars["name"])
	if err != nil {
		writeRefusal(w, refusal.New(refusal.BadRequest, "%v", err))
		return "", "", false
	}
	return kind, name, true
}

func (g *Gateway) getRecord(w http.ResponseWriter, r *http.Request) {
	kind, name, ok := recordID(w, r)
	if !ok {
		return
	}
	versions, waiting, refused := g.Records.Get(r.Context(), kind, name)
	if refused != nil {
		writeRefusal(w, refused)
		return
	}
	for i := range versions {
		versions[i] = hideSecret(versions[i])
	}
	state := "accepted"
	if len(waiting) > 0 {
		state = "pending"
	}
	writeJSON(w, http.StatusOK, RecordState{Versions: versions, State: state, WaitingFor: waiting})
}

func (g *Gateway) putRecord(w http.ResponseWriter, r *http.Request) {
	kind, name, ok := recordID(w, r)
	if !ok {
		return
	}
	var b RecordBody
	if _, refused := g.readBody(w, r, &b); refused != nil {
		writeRefusal(w, refused)
		return
	}
	rec := record.Record{Kind: kind, Name: name, Schema: b.Schema, Data: b.Data, By: operatorName(r)}
	after, refused := g.Records.Put(r.Context(), rec, b.Revision)
	g.writeRecord(w, after, refused)
}

func (g *Gateway) withdrawRecord(w http.ResponseWriter, r *http.Request) {
	kind, name, ok := recordID(w, r)
	if !ok {
		return
	}
	expected, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		writeRefusal(w, refusal.New(refusal.BadRequest, "revision must be the number of the revision to withdraw"))
		return
	}
	after, refused := g.Records.Withdraw(r.Context(), kind, name, operatorName(r), expected)
	g.writeRecord(w, after, refused)
}

// writeRecord writes the record after a change, or the refusal.
func (g *Gateway) writeRecord(w http.ResponseWriter, after record.Record, refused *refusal.Refusal) {
	if refused != nil {
		writeRefusal(w, refused)
		return
	}
	writeJSON(w, http.StatusOK, hideSecret(after))
}

func (g *Gateway) getAudit(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("record")
	if id != "" {
		if _, _, err := record.ParseID(id); err != nil {
			writeRefusal(w, refusal.New(refusal.BadRequest, "%v", err))
			return
		}
	}
	list, refused := g.Records.History(r.Context(), id)
	if refused != nil {
		writeRefusal(w, refused)
		return
	}
	for i := range list {
		list[i].After = hideSecret(list[i].After)
		if list[i].Before != nil {
			before := hideSecret(*list[i].Before)
			list[i].Before = &before
		}
	}
	writeJSON(w, http.StatusOK, map[string][]audit.Entry{"entries": list})
}

func (g *Gateway) getHosts(w http.ResponseWriter, r *http.Request) {
	hosts, workers, refused := g.Hosts(r.Context())
	if refused != nil {
		writeRefusal(w, refused)
		return
	}
	writeJSON(w, http.StatusOK, HostLists{EntryHosts: hosts, Workers: workers})
}
