// Package client calls an entry host over HTTP, for callers and operators.
//
// # Usage
//
//	c := client.Client{BaseURL: "http://127.0.0.1:8080", Key: "shop1.q8x…"}
//	answer, err := c.Submit(ctx, gateway.SubmitBody{Class: "lookup", Payload: payload})
//	var r *refusal.Refusal
//	if errors.As(err, &r) && r.Ran == refusal.NotRun { ... }
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/cowslipgap/cowslipgap/audit"
	"github.com/cowslipgap/cowslipgap/gateway"
	"github.com/cowslipgap/cowslipgap/job"
	"github.com/cowslipgap/cowslipgap/record"
	"github.com/cowslipgap/cowslipgap/refusal"
)

// ErrUnreachable means that the entry host sent no answer, or an error status
// without a refusal.
var ErrUnreachable = errors.New("client: no answer")

const maxReplyBytes = 64 << 20

// Client calls one entry host. BaseURL must be set.
type Client struct {
	BaseURL  string // URL without a trailing slash
	Key      string // a caller's or the operators' key
	Operator string // the operator's name, for the audit trail
	// HTTP is the client to use; http.DefaultClient if nil. It must not retry.
	HTTP *http.Client
}

// Answer is the answer to a request.
type Answer struct {
	ID     string          `json:"id"`
	Worker string          `json:"worker"`
	Output json.RawMessage `json:"output"`
}

// Submit sends a request and waits for its answer.
func (c Client) Submit(ctx context.Context, b gateway.SubmitBody) (Answer, error) {
	var a Answer
	err := c.call(ctx, http.MethodPost, "/v1/requests", b, &a)
	return a, err
}

// SubmitJob sends a job and returns its ID once it is accepted.
func (c Client) SubmitJob(ctx context.Context, b gateway.SubmitBody) (string, error) {
	var a struct {
		ID string `json:"id"`
	}
	err := c.call(ctx, http.MethodPost, "/v1/jobs", b, &a)
	return a.ID, err
}

// Job returns the status of a job.
func (c Client) Job(ctx context.Context, id string) (job.Status, error) {
	var st job.Status
	err := c.call(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(id), nil, &st)
	return st, err
}

// Jobs lists the team's jobs.
func (c Client) Jobs(ctx context.Context) ([]job.Status, error) {
	var list struct {
		Jobs []job.Status `json:"jobs"`
	}
	err := c.call(ctx, http.MethodGet, "/v1/jobs", nil, &list)
	return list.Jobs, err
}

// CancelJob cancels a job and returns its status.
func (c Client) CancelJob(ctx context.Context, id string) (job.Status, error) {
	var st job.Status
	err := c.call(ctx, http.MethodDelete, "/v1/jobs/"+url.PathEscape(id), nil, &st)
	return st, err
}

// PutRecord writes a record and returns it as stored.
func (c Client) PutRecord(ctx context.Context, kind, name string, b gateway.RecordBody) (record.Record, error) {
	var r record.Record
	err := c.call(ctx, http.MethodPut, "/v1/records/"+kind+"/"+name, b, &r)
	return r, err
}

// GetRecord returns a record under all its schemas.
func (c Client) GetRecord(ctx context.Context, kind, name string) (gateway.RecordState, error) {
	var s gateway.RecordState
	err := c.call(ctx, http.MethodGet, "/v1/records/"+kind+"/"+name, nil, &s)
	return s, err
}

// WithdrawRecord withdraws a record on condition of its current revision.
func (c Client) WithdrawRecord(ctx context.Context, kind, name string, revision uint64) (record.Record, error) {
	var r record.Record
	path := "/v1/records/" + kind + "/" + name + "?revision=" + strconv.FormatUint(revision, 10)
	err := c.call(ctx, http.MethodDelete, path, nil, &r)
	return r, err
}

// Records lists the records of a kind, or all records if kind is empty.
func (c Client) Records(ctx context.Context, kind string) ([]record.Record, error) {
	var list struct {
		Records []record.Record `json:"records"`
	}
	err := c.call(ctx, http.MethodGet, "/v1/records?kind="+url.QueryEscape(kind), nil, &list)
	return list.Records, err
}

// Audit returns the audit trail of a record, or of all records if id is empty.
func (c Client) Audit(ctx context.Context, id string) ([]audit.Entry, error) {
	var list struct {
		Entries []audit.Entry `json:"entries"`
	}
	err := c.call(ctx, http.MethodGet, "/v1/audit?record="+url.QueryEscape(id), nil, &list)
	return list.Entries, err
}

// Hosts lists the entry hosts and the workers.
func (c Client) Hosts(ctx context.Context) (gateway.HostLists, error) {
	var l gateway.HostLists
	err := c.call(ctx, http.MethodGet, "/v1/hosts", nil, &l)
	return l, err
}

// call makes one call and decodes the reply into out. If the host refuses the
// call, the error is a *refusal.Refusal.
func (c Client) call(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return errors.Wrapf(err, "encode body of %s %s", method, path)
		}
		body = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, method, c.BaseURL+path, body)
	if err != nil {
		return errors.Wrapf(err, "build %s %s", method, path)
	}
	r.GetBody = nil // prevents the transport from sending the request twice
	if c.Key != "" {
		r.Header.Set("Authorization", "Bearer "+c.Key)
	}
	if c.Operator != "" {
		r.Header.Set("X-Operator", c.Operator)
	}
	cli := c.HTTP
	if cli == nil {
		cli = http.DefaultClient
	}
	resp, err := cli.Do(r)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "%s %s", method, path), ErrUnreachable)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "read reply of %s %s", method, path), ErrUnreachable)
	}
	return decode(resp.StatusCode, data, method+" "+path, out)
}

// decode decodes the body of a reply into out, or returns the refusal in it.
func decode(status int, data []byte, operation string, out any) error {
	if status >= http.StatusBadRequest {
		var e struct {
			Error *refusal.Refusal `json:"error"`
		}
		if json.Unmarshal(data, &e) == nil && e.Error != nil {
			return e.Error
		}
		return errors.Mark(errors.Newf("%s: status %d: %s", operation, status, data), ErrUnreachable)
	}
	return errors.Wrapf(json.Unmarshal(data, out), "decode reply of %s", operation)
}
