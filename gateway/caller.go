package gateway

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"regexp"
	"strings"
	"time"

	"github.com/zeromicro/go-zero/rest/pathvar"

	"github.com/cowslipgap/cowslipgap/class"
	"github.com/cowslipgap/cowslipgap/job"
	"github.com/cowslipgap/cowslipgap/peer"
	"github.com/cowslipgap/cowslipgap/refusal"
	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/task"
)

const (
	maxTasksPerJob = 1_000_000
	// maxNeedAmount bounds every dimension of a need, so that sums cannot
	// overflow.
	maxNeedAmount = 1 << 40
	// defaultLookupDeadline is the deadline of a lookup that does not set one.
	defaultLookupDeadline = 5 * time.Second
	// maxPayloadBytes bounds an encoded payload to what one host may send to another, beside
	// the other fields of a task.
	maxPayloadBytes = peer.MaxMessageBytes - 64<<10
)

var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._~-]{1,128}$`)

// SubmitBody is the body of a request or of the submission of a job. Tasks applies to
// jobs only, DeadlineMillis to requests only.
type SubmitBody struct {
	Queue          string          `json:"queue,omitempty"`
	Class          string          `json:"class"`
	Need           resource.Vector `json:"need,omitzero"` // one slot if empty
	Tasks          int             `json:"tasks,omitempty"`
	Zone           string          `json:"zone,omitempty"`
	Rack           string          `json:"rack,omitempty"`
	Urgent         bool            `json:"urgent,omitempty"`
	NonIdempotent  bool            `json:"nonIdempotent,omitempty"`
	RequestID      string          `json:"requestId,omitempty"`
	DeadlineMillis int64           `json:"deadlineMillis,omitempty"`
	Payload        json.RawMessage `json:"payload,omitempty"`
}

// answerBody is the answer to a request.
type answerBody struct {
	ID     string          `json:"id"`
	Worker string          `json:"worker,omitempty"`
	Output json.RawMessage `json:"output,omitempty"`
}

// jobBody is the answer to the submission of a job.
type jobBody struct {
	ID string `json:"id"`
}

// validate returns the class of the body, or a refusal that says what is
// invalid. It sets an empty need to one slot.
func (b *SubmitBody) validate() (class.Class, *refusal.Refusal) {
	c, err := class.Parse(b.Class)
	if err != nil {
		return "", refusal.New(refusal.BadRequest, "%v", err)
	}
	if b.Need == (resource.Vector{}) {
		b.Need.Slots = 1
	}
	if b.Need.Negative() || b.Need.Slots < 1 {
		return "", refusal.New(refusal.BadRequest, "need %+v must have at least one slot and no negative amount", b.Need)
	}
	limit := resource.Vector{Slots: maxNeedAmount, MilliCPU: maxNeedAmount, MemoryMB: maxNeedAmount, Accelerators: maxNeedAmount}
	if !b.Need.Fits(limit) {
		return "", refusal.New(refusal.BadRequest, "need %+v has an amount above %d", b.Need, int64(maxNeedAmount))
	}
	if n := b.encodedPayload(); n > maxPayloadBytes {
		return "", refusal.New(refusal.TooLarge, "the payload has %d bytes in encoded form, %d are allowed", n, maxPayloadBytes)
	}
	if b.RequestID != "" && !requestIDPattern.MatchString(b.RequestID) {
		return "", refusal.New(refusal.BadRequest, "requestId must be 1 to 128 letters, digits and . _ ~ -")
	}
	return c, nil
}

// encodedPayload returns the size of the payload as hosts encode it: some characters take an
// escape.
func (b *SubmitBody) encodedPayload() int {
	n := len(b.Payload)
	for _, c := range b.Payload {
		switch c {
		case '<', '>', '&', 0xe2: // the last begins the line separators, among others
			n += len(`\u003c`) - 1
		}
	}
	return n
}

// authenticate returns the team of a call. It refuses the call if the host is
// not ready, unless the host is leaving.
func (g *Gateway) authenticate(r *http.Request, queue string) (string, *refusal.Refusal) {
	if !g.Ready() && !g.Leaving() {
		return "", refusal.New(refusal.NotReady, "this entry host has not read the records yet").WithRetryAfter(time.Second)
	}
	return g.Catalog().Authenticate(bearerToken(r), queue, time.Now())
}

// decode reads the body of a call and authenticates the caller. An
// unauthenticated caller learns only that a body cannot be decoded, not that
// its values are invalid.
func (g *Gateway) decode(w http.ResponseWriter, r *http.Request) (b SubmitBody, c class.Class, team, hash string, refused *refusal.Refusal) {
	data, refused := g.readBody(w, r, &b)
	if refused != nil {
		return b, "", "", "", refused
	}
	if team, refused = g.authenticate(r, b.Queue); refused != nil {
		return b, "", "", "", refused
	}
	sum := sha256.Sum256(data)
	c, refused = b.validate()
	return b, c, team, hex.EncodeToString(sum[:]), refused
}

func (g *Gateway) postRequest(w http.ResponseWriter, r *http.Request) {
	b, c, team, hash, refused := g.decode(w, r)
	if refused == nil {
		refused = b.validateRequest(c, g.Settings.MaxDeadline)
	}
	if refused != nil {
		writeRefusal(w, refused)
		return
	}
	now := time.Now()
	t := task.Task{
		ID: newTaskID(g.Settings.Name), Team: team, Class: c, Need: b.Need, Zone: b.Zone, Rack: b.Rack, Urgent: b.Urgent,
		NonIdempotent: b.NonIdempotent, Submitted: now, Payload: b.Payload, Deadline: now.Add(g.deadline(b, c)),
	}
	answer, refused := g.dedup.do(r.Context(), dedupKey{team, b.RequestID}, hash, func() (answerBody, *refusal.Refusal) {
		outcome, worker, refused := g.RunRequest(r.Context(), t, b.RequestID, hash)
		return answerBody{ID: t.ID, Worker: worker, Output: outcome.Output}, refused
	})
	if refused != nil {
		writeRefusal(w, refused)
		return
	}
	writeJSON(w, http.StatusOK, answer)
}

// validateRequest makes the checks that apply to requests only.
func (b *SubmitBody) validateRequest(c class.Class, maxDeadline time.Duration) *refusal.Refusal {
	switch {
	case !c.Interactive():
		return refusal.New(refusal.BadRequest, "class %q is for jobs; send it to /v1/jobs", c)
	case b.Tasks != 0:
		return refusal.New(refusal.BadRequest, "tasks is for jobs; send it to /v1/jobs")
	case b.DeadlineMillis < 0 || b.DeadlineMillis > maxDeadline.Milliseconds():
		return refusal.New(refusal.BadRequest, "deadlineMillis %d must be 0 to %d", b.DeadlineMillis, maxDeadline.Milliseconds())
	}
	return nil
}

// deadline returns how long a request may take.
func (g *Gateway) deadline(b SubmitBody, c class.Class) time.Duration {
	switch {
	case b.DeadlineMillis > 0:
		return time.Duration(b.DeadlineMillis) * time.Millisecond
	case c == class.Lookup:
		return min(defaultLookupDeadline, g.Settings.DefaultDeadline)
	default:
		return g.Settings.DefaultDeadline
	}
}

func newTaskID(host string) string { return host + "-" + strings.ToLower(rand.Text()) }

func (g *Gateway) postJob(w http.ResponseWriter, r *http.Request) {
	b, c, team, hash, refused := g.decode(w, r)
	if refused == nil {
		refused = b.validateJob(c)
	}
	if refused != nil {
		writeRefusal(w, refused)
		return
	}
	j := job.Job{
		Team: team, RequestID: b.RequestID, Class: c, Need: b.Need, Tasks: b.Tasks, Zone: b.Zone, Rack: b.Rack,
		Urgent: b.Urgent, NonIdempotent: b.NonIdempotent, Payload: b.Payload,
	}
	id, refused := g.SubmitJob(r.Context(), j, hash)
	if refused != nil {
		writeRefusal(w, refused)
		return
	}
	writeJSON(w, http.StatusAccepted, jobBody{ID: id})
}

// validateJob makes the checks that apply to jobs only, and sets an empty Tasks
// to 1.
func (b *SubmitBody) validateJob(c class.Class) *refusal.Refusal {
	switch {
	case c == class.Lookup:
		return refusal.New(refusal.BadRequest, "class %q is for requests; send it to /v1/requests", c)
	case b.DeadlineMillis != 0:
		return refusal.New(refusal.BadRequest, "deadlineMillis is for requests; send it to /v1/requests")
	case b.Tasks < 0 || b.Tasks > maxTasksPerJob:
		return refusal.New(refusal.BadRequest, "tasks %d must be 1 to %d", b.Tasks, maxTasksPerJob)
	}
	b.Tasks = max(1, b.Tasks)
	return nil
}

// authenticateJobCall returns the team of a call about jobs. If the call is
// refused, it writes the refusal and returns false.
func (g *Gateway) authenticateJobCall(w http.ResponseWriter, r *http.Request) (string, bool) {
	team, refused := g.authenticate(r, r.URL.Query().Get("queue"))
	if refused != nil {
		writeRefusal(w, refused)
		return "", false
	}
	return team, true
}

func (g *Gateway) getJobs(w http.ResponseWriter, r *http.Request) {
	team, ok := g.authenticateJobCall(w, r)
	if !ok {
		return
	}
	list, refused := g.Jobs(r.Context(), team, "")
	if refused != nil {
		writeRefusal(w, refused)
		return
	}
	writeJSON(w, http.StatusOK, map[string][]job.Status{"jobs": list})
}

func (g *Gateway) getJob(w http.ResponseWriter, r *http.Request) {
	team, ok := g.authenticateJobCall(w, r)
	if !ok {
		return
	}
	list, refused := g.Jobs(r.Context(), team, pathvar.Vars(r)["id"])
	if refused != nil {
		writeRefusal(w, refused)
		return
	}
	writeJSON(w, http.StatusOK, list[0])
}

func (g *Gateway) deleteJob(w http.ResponseWriter, r *http.Request) {
	team, ok := g.authenticateJobCall(w, r)
	if !ok {
		return
	}
	status, refused := g.Cancel(r.Context(), team, pathvar.Vars(r)["id"])
	if refused != nil {
		writeRefusal(w, refused)
		return
	}
	writeJSON(w, http.StatusOK, status)
}
