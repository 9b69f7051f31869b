// Package gateway serves the HTTP API of an entry host for callers and
// operators. It checks keys and bodies, and leaves all decisions to the
// functions in the fields of Gateway. docs/API.md lists the calls.
//
// # Usage
//
//	g := gateway.Gateway{Settings: s, Catalog: h.catalog.Load, RunRequest: h.submit, ...}
//	handler, err := g.Handler()
//	http.Serve(listener, handler)
package gateway

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"expvar"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/zeromicro/go-zero/rest"

	"github.com/cowslipgap/cowslipgap/audit"
	"github.com/cowslipgap/cowslipgap/catalog"
	"github.com/cowslipgap/cowslipgap/document"
	"github.com/cowslipgap/cowslipgap/httplog"
	"github.com/cowslipgap/cowslipgap/ingress"
	"github.com/cowslipgap/cowslipgap/job"
	"github.com/cowslipgap/cowslipgap/record"
	"github.com/cowslipgap/cowslipgap/refusal"
	"github.com/cowslipgap/cowslipgap/settings"
	"github.com/cowslipgap/cowslipgap/storage"
	"github.com/cowslipgap/cowslipgap/task"
)

// Records reads and writes operators' records. Get also returns the names of the
// entry hosts that have not applied the last change.
type Records interface {
	List(ctx context.Context, kind string) ([]record.Record, *refusal.Refusal)
	Get(ctx context.Context, kind, name string) ([]record.Record, []string, *refusal.Refusal)
	Put(ctx context.Context, r record.Record, expected uint64) (record.Record, *refusal.Refusal)
	Withdraw(ctx context.Context, kind, name, by string, expected uint64) (record.Record, *refusal.Refusal)
	History(ctx context.Context, id string) ([]audit.Entry, *refusal.Refusal)
}

// EntryHost describes a live entry host to operators.
type EntryHost struct {
	Name            string `json:"name"`
	Zone            string `json:"zone"`
	Session         string `json:"session"`
	HTTPAddr        string `json:"httpAddr"`
	PeerAddr        string `json:"peerAddr"`
	RecordsRevision uint64 `json:"records"` // revision of the records in effect
	Leaving         bool   `json:"leaving"`
}

// Gateway serves the HTTP API. All exported fields must be set.
type Gateway struct {
	Settings   settings.Settings
	Log        *slog.Logger
	Catalog    func() *catalog.Catalog
	Ready      func() bool // reports whether the host can serve calls and is not shutting down
	Leaving    func() bool // reports whether the host is shutting down
	RunRequest func(ctx context.Context, t task.Task, requestID, hash string) (storage.Outcome, string, *refusal.Refusal)
	SubmitJob  func(ctx context.Context, j job.Job, hash string) (string, *refusal.Refusal)
	Jobs       func(ctx context.Context, team, id string) ([]job.Status, *refusal.Refusal)
	Cancel     func(ctx context.Context, team, id string) (*job.Status, *refusal.Refusal)
	Records    Records
	Hosts      func(ctx context.Context) ([]EntryHost, []storage.Worker, *refusal.Refusal)
	Vars       *expvar.Map

	dedup deduplicator
}

// Handler returns an HTTP handler for all routes.
func (g *Gateway) Handler() (http.Handler, error) {
	var conf rest.RestConf
	conf.Name = g.Settings.Name
	conf.Log.Mode = "console"
	conf.Middlewares.Recover = true
	server, err := rest.NewServer(conf)
	if err != nil {
		return nil, errors.Wrap(err, "gateway: build server")
	}
	httplog.Disable()
	server.AddRoutes(g.routes())
	serverless, err := rest.NewServerless(server)
	if err != nil {
		return nil, errors.Wrap(err, "gateway: build routes")
	}
	return http.HandlerFunc(serverless.Serve), nil
}

func (g *Gateway) routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: "/healthz", Handler: g.health},
		{Method: http.MethodGet, Path: "/readyz", Handler: g.readiness},
		{Method: http.MethodGet, Path: "/debug/vars", Handler: g.getVars},
		{Method: http.MethodPost, Path: "/v1/requests", Handler: g.postRequest},
		{Method: http.MethodPost, Path: "/v1/jobs", Handler: g.postJob},
		{Method: http.MethodGet, Path: "/v1/jobs", Handler: g.getJobs},
		{Method: http.MethodGet, Path: "/v1/jobs/:id", Handler: g.getJob},
		{Method: http.MethodDelete, Path: "/v1/jobs/:id", Handler: g.deleteJob},
		{Method: http.MethodGet, Path: "/v1/records", Handler: g.requireOperator(g.listRecords)},
		{Method: http.MethodGet, Path: "/v1/records/:kind/:name", Handler: g.requireOperator(g.getRecord)},
		{Method: http.MethodPut, Path: "/v1/records/:kind/:name", Handler: g.requireOperator(g.putRecord)},
		{Method: http.MethodDelete, Path: "/v1/records/:kind/:name", Handler: g.requireOperator(g.withdrawRecord)},
		{Method: http.MethodGet, Path: "/v1/audit", Handler: g.requireOperator(g.getAudit)},
		{Method: http.MethodGet, Path: "/v1/hosts", Handler: g.requireOperator(g.getHosts)},
	}
}

func (g *Gateway) health(w http.ResponseWriter, _ *http.Request) {
	_, _ = fmt.Fprintln(w, "ok")
}

func (g *Gateway) readiness(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintln(w, "ready")
}

// getVars writes the metrics of this host and of the process as one JSON
// object.
func (g *Gateway) getVars(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	fields := []string{fmt.Sprintf("%q: %s", "host", g.Vars.String())}
	expvar.Do(func(kv expvar.KeyValue) {
		fields = append(fields, fmt.Sprintf("%q: %s", kv.Key, kv.Value))
	})
	_, _ = fmt.Fprintf(w, "{\n%s\n}\n", strings.Join(fields, ",\n"))
}

// requireOperator returns a handler that refuses calls without the operators'
// key.
func (g *Gateway) requireOperator(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(bearerToken(r)), []byte(g.Settings.OperatorKey)) != 1 {
			writeRefusal(w, refusal.New(refusal.BadKey, "this call needs the operators' key"))
			return
		}
		next(w, r)
	}
}

func bearerToken(r *http.Request) string {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return token
}

// decodedShare is how many times its length a body takes until the call is answered: the
// bytes that were read, and the payload in the task and on its way to a worker.
const decodedShare = 3

// readBody reads and decodes a body of bounded size, and returns its bytes.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, out any) ([]byte, *refusal.Refusal) {
	data, err := ingress.ReadBody(w, r, g.Settings.MaxBodyBytes, time.Now().Add(g.Settings.BodyTimeout))
	if err == nil && !ingress.Hold(r, decodedShare*int64(len(data))) {
		err = ingress.ErrBusy
	}
	switch {
	case errors.Is(err, ingress.ErrTooLarge):
		return nil, refusal.New(refusal.TooLarge, "the body is larger than %d bytes", g.Settings.MaxBodyBytes)
	case errors.Is(err, ingress.ErrBusy):
		return nil, refusal.New(refusal.Overloaded, "too many requests are in progress").WithRetryAfter(time.Second)
	case err != nil:
		return nil, refusal.New(refusal.BadRequest, "the body cannot be read: %v", err)
	}
	if err := document.Decode(data, out); err != nil {
		return nil, refusal.New(refusal.BadRequest, "%v", err)
	}
	return data, nil
}

// errorBody is the body of every refusal.
type errorBody struct {
	Error *refusal.Refusal `json:"error"`
}

const millisPerSecond = 1000

func writeRefusal(w http.ResponseWriter, r *refusal.Refusal) {
	if r.RetryMillis > 0 {
		w.Header().Set("Retry-After", fmt.Sprint((r.RetryMillis+millisPerSecond-1)/millisPerSecond))
	}
	writeJSON(w, r.Status(), errorBody{r})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}
