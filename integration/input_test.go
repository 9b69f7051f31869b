package integration

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/gateway"
	"github.com/cowslipgap/cowslipgap/record"
	"github.com/cowslipgap/cowslipgap/refusal"
)

// TestInvalidRequestsAreRefused sends invalid requests: each one gets the expected
// refusal code and a status from 400 to 499, and nothing runs. It also repeats a
// valid request, which runs only once, and reuses its ID with another payload,
// which is refused.
func TestInvalidRequestsAreRefused(t *testing.T) {
	f := newFleet(t, "cam-pho")
	f.addTeam("touring")
	f.addTeam("school")
	f.putRecord(record.KindQueue, "tours", `{"team":"touring"}`)
	f.waitAccepted(record.KindQueue, "tours")
	touring, school := "touring."+callerSecret, "school."+callerSecret
	for name, c := range map[string]struct{ path, key, body, code string }{
		"truncated":        {"requests", touring, `{"class":"lookup"`, refusal.BadRequest},
		"empty":            {"requests", touring, ``, refusal.BadRequest},
		"not UTF-8":        {"requests", touring, "{\"class\":\"\xff\"}", refusal.BadRequest},
		"too large":        {"requests", touring, `{"class":"lookup","payload":"` + strings.Repeat("x", 2<<20) + `"}`, refusal.TooLarge},
		"nested too deep":  {"requests", touring, `{"class":"lookup","payload":` + strings.Repeat("[", 99) + strings.Repeat("]", 99) + `}`, refusal.BadRequest},
		"unknown field":    {"requests", touring, `{"class":"lookup","speed":1}`, refusal.BadRequest},
		"unknown class":    {"requests", touring, `{"class":"gong"}`, refusal.BadRequest},
		"negative size":    {"requests", touring, `{"class":"lookup","need":{"slots":1,"memoryMb":-1}}`, refusal.BadRequest},
		"excessive size":   {"requests", touring, `{"class":"lookup","need":{"slots":9000000000000000000}}`, refusal.BadRequest},
		"fits no worker":   {"requests", touring, `{"class":"lookup","need":{"slots":9}}`, refusal.NeverFits},
		"negative tasks":   {"jobs", touring, `{"class":"batch","tasks":-1}`, refusal.BadRequest},
		"excessive tasks":  {"jobs", touring, `{"class":"batch","tasks":2000000000}`, refusal.BadRequest},
		"negative timeout": {"requests", touring, `{"class":"lookup","deadlineMillis":-1}`, refusal.BadRequest},
		"batch as request": {"requests", touring, `{"class":"batch"}`, refusal.BadRequest},
		"lookup as job":    {"jobs", touring, `{"class":"lookup"}`, refusal.BadRequest},
		"bad request id":   {"requests", touring, `{"class":"lookup","requestId":"a/b"}`, refusal.BadRequest},
		"no key":           {"requests", "", `{"class":"lookup"}`, refusal.NoKey},
		"malformed key":    {"requests", "touring", `{"class":"lookup"}`, refusal.BadKey},
		"wrong secret":     {"requests", "touring.not-the-right-one", `{"class":"lookup"}`, refusal.BadKey},
		"foreign queue":    {"requests", school, `{"class":"lookup","queue":"tours"}`, refusal.Forbidden},
		"unknown queue":    {"requests", touring, `{"class":"lookup","queue":"none"}`, refusal.NotFound},
	} {
		t.Run(name, func(t *testing.T) {
			r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.hosts[0].url+"/v1/"+c.path, bytes.NewBufferString(c.body))
			require.NoError(t, err)
			if c.key != "" {
				r.Header.Set("Authorization", "Bearer "+c.key)
			}
			resp, err := http.DefaultClient.Do(r)
			require.NoError(t, err)
			defer func() { _ = resp.Body.Close() }()
			data, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			var body struct {
				Error refusal.Refusal `json:"error"`
			}
			require.NoError(t, json.Unmarshal(data, &body), "%s", data)
			require.Equal(t, c.code, body.Error.Code, "%s", data)
			require.Equal(t, refusal.NotRun, body.Error.Ran)
			require.GreaterOrEqual(t, resp.StatusCode, http.StatusBadRequest)
			require.Less(t, resp.StatusCode, http.StatusInternalServerError)
		})
	}
	require.Zero(t, f.ledgerCounts().Starts)

	request := gateway.SubmitBody{Class: "lookup", RequestID: "r1", Payload: json.RawMessage(`{"workMillis":1}`)}
	first, err := f.callerClient(f.hosts[0], "touring").Submit(t.Context(), request)
	require.NoError(t, err)
	repeated, err := f.callerClient(f.hosts[0], "touring").Submit(t.Context(), request)
	require.NoError(t, err)
	require.Equal(t, first, repeated, "a repeated request must return the same response")
	request.Payload = json.RawMessage(`{"workMillis":2}`)
	_, err = f.callerClient(f.hosts[0], "touring").Submit(t.Context(), request)
	require.ErrorContains(t, err, refusal.RequestIDReused)
	require.Equal(t, 1, f.ledgerCounts().Starts)
}
