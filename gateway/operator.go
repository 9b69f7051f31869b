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

// RecordBody is what an operator sends to write a record. Revision is the one
// that the operator saw, 0 for a new record.
type RecordBody struct {
	Schema   int             `json:"schema"`
	Revision uint64          `json:"revision"`
	Data     json.RawMessage `json:"data"`
}

// RecordState is a record as operators read it. It is accepted once WaitingFor
// is empty; until then it is pending.
type RecordState struct {
	Versions   []record.Record `json:"versions"`
	State      string          `json:"state"` // "pending" or "accepted"
	WaitingFor []string        `json:"waitingFor"`
}

// HostLists is what operators read of hosts.
type HostLists struct {
	EntryHosts []EntryHost    `json:"entryHosts"`
	Workers    []storage.Host `json:"workers"`
}

func by(r *http.Request) string {
	if name := r.Header.Get(operatorHeader); name != "" {
		return name[:min(len(name), 64)]
	}
	return "operator"
}

func (g *Gateway) listRecords(w http.ResponseWriter, r *http.Request) {
	kind := r.URL.Query().Get("kind")
	if kind != "" && record.NewestSchema(kind) == 0 {
		refuse(w, refusal.New(refusal.BadRequest, "kind %q does not exist", kind))
		return
	}
	list, refused := g.Records.List(r.Context(), kind)
	if refused != nil {
		refuse(w, refused)
		return
	}
	for i := range list {
		list[i] = hideSecret(list[i])
	}
	write(w, http.StatusOK, map[string][]record.Record{"records": list})
}

// hideSecret takes the hash out of a key that is shown.
func hideSecret(r record.Record) record.Record {
	if r.Kind != record.KindKey {
		return r
	}
	k, err := r.Key()
	if err != nil {
		r.Data = nil
		return r
	}
	r.Data, _ = json.Marshal(map[string]any{"team": k.Team, "maxStaleMillis": k.MaxStaleMillis}) // plain values always encode
	return r
}

// recordID checks the kind and the name in a path.
func recordID(w http.ResponseWriter, r *http.Request) (kind, name string, ok bool) {
	vars := pathvar.Vars(r)
	kind, name, err := record.ParseID(vars["kind"] + "/" + vars["name"])
	if err != nil {
		refuse(w, refusal.New(refusal.BadRequest, "%v", err))
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
		refuse(w, refused)
		return
	}
	for i := range versions {
		versions[i] = hideSecret(versions[i])
	}
	state := "accepted"
	if len(waiting) > 0 {
		state = "pending"
	}
	write(w, http.StatusOK, RecordState{Versions: versions, State: state, WaitingFor: waiting})
}

func (g *Gateway) putRecord(w http.ResponseWriter, r *http.Request) {
	kind, name, ok := recordID(w, r)
	if !ok {
		return
	}
	var b RecordBody
	if _, refused := g.readBody(w, r, &b); refused != nil {
		refuse(w, refused)
		return
	}
	rec := record.Record{Kind: kind, Name: name, Schema: b.Schema, Data: b.Data, By: by(r)}
	after, refused := g.Records.Put(r.Context(), rec, b.Revision)
	g.answerRecord(w, after, refused)
}

func (g *Gateway) withdrawRecord(w http.ResponseWriter, r *http.Request) {
	kind, name, ok := recordID(w, r)
	if !ok {
		return
	}
	seen, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		refuse(w, refusal.New(refusal.BadRequest, "revision must be the number of the revision to withdraw"))
		return
	}
	after, refused := g.Records.Withdraw(r.Context(), kind, name, by(r), seen)
	g.answerRecord(w, after, refused)
}

func (g *Gateway) answerRecord(w http.ResponseWriter, after record.Record, refused *refusal.Refusal) {
	if refused != nil {
		refuse(w, refused)
		return
	}
	write(w, http.StatusOK, hideSecret(after))
}

func (g *Gateway) getAudit(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("record")
	if id != "" {
		if _, _, err := record.ParseID(id); err != nil {
			refuse(w, refusal.New(refusal.BadRequest, "%v", err))
			return
		}
	}
	list, refused := g.Records.History(r.Context(), id)
	if refused != nil {
		refuse(w, refused)
		return
	}
	for i := range list {
		list[i].After = hideSecret(list[i].After)
		if list[i].Before != nil {
			before := hideSecret(*list[i].Before)
			list[i].Before = &before
		}
	}
	write(w, http.StatusOK, map[string][]audit.Entry{"entries": list})
}

func (g *Gateway) getHosts(w http.ResponseWriter, r *http.Request) {
	hosts, workers, refused := g.Hosts(r.Context())
	if refused != nil {
		refuse(w, refused)
		return
	}
	write(w, http.StatusOK, HostLists{EntryHosts: hosts, Workers: workers})
}
