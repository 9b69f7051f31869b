package gateway

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cowslipgap/cowslipgap/document"
	"github.com/cowslipgap/cowslipgap/job"
	"github.com/cowslipgap/cowslipgap/peer"
)

// jobOf decodes a body as a call does, and returns the job that is submitted.
func jobOf(body []byte) (job.Job, bool) {
	var b SubmitBody
	if document.Decode(body, &b) != nil {
		return job.Job{}, false
	}
	c, refused := b.validate()
	if refused == nil {
		refused = b.validateJob(c)
	}
	return job.Job{
		ID: "z.s.1", Team: "blue", RequestID: b.RequestID, Class: c, Need: b.Need, Tasks: b.Tasks, Zone: b.Zone, Rack: b.Rack,
		Urgent: b.Urgent, NonIdempotent: b.NonIdempotent, Payload: b.Payload, Accepted: time.Unix(1.7e9, 5).UTC(),
	}, refused == nil
}

// requireCarried requires that the journal, its replay and a message to another host carry the
// job that was accepted.
func requireCarried(t require.TestingT, j job.Job) {
	data, err := json.Marshal(job.Entry{Accept: &j})
	require.NoError(t, err)
	segment, err := json.Marshal(map[string][]json.RawMessage{"entries": {data}})
	require.NoError(t, err)
	var stored map[string][]json.RawMessage
	require.NoError(t, json.Unmarshal(segment, &stored))
	var entry job.Entry
	require.NoError(t, json.Unmarshal(stored["entries"][0], &entry))
	got := *entry.Accept
	if len(j.Payload) > 0 {
		require.JSONEq(t, string(j.Payload), string(got.Payload))
	}
	j.Payload, got.Payload = nil, nil
	require.Equal(t, j, got)
	message, err := cbor.Marshal(peer.JobRequest{Body: data})
	require.NoError(t, err)
	require.LessOrEqual(t, len(message), peer.MaxMessageBytes)
}

func TestAcceptedJobsAreCarried(t *testing.T) {
	text := rapid.OneOf(rapid.StringN(0, 8, -1), rapid.SampledFrom([]string{"<&>", "\u2028", "\\", "\x00", "\ufffd"}))
	rapid.Check(t, func(t *rapid.T) {
		number := rapid.Int64Range(0, maxNeedAmount+1)
		body, err := json.Marshal(map[string]any{
			"class": rapid.SampledFrom([]string{"batch", "gang", "patient", "lookup"}).Draw(t, "class"), "tasks": rapid.IntRange(-1, maxTasksPerJob+1).Draw(t, "tasks"),
			"zone": text.Draw(t, "zone"), "rack": text.Draw(t, "rack"), "requestId": rapid.SampledFrom([]string{"", "a~b", "a b"}).Draw(t, "id"),
			"need": map[string]int64{"slots": number.Draw(t, "slots")}, "payload": map[string]string{text.Draw(t, "key"): text.Draw(t, "value")},
		})
		require.NoError(t, err)
		if j, ok := jobOf(body); ok {
			requireCarried(t, j)
		}
	})
}

// A payload whose encoded form was longer than a message between hosts was accepted by some hosts
// and had no outcome at others.
func TestLongPayloadsAreCarriedOrRejected(t *testing.T) {
	for _, char := range []string{"x", "<", "\u2028", "é"} {
		for _, size := range []int{maxPayloadBytes / 6, maxPayloadBytes / 2, maxPayloadBytes, 2 * maxPayloadBytes} {
			body := `{"class":"batch","payload":"` + strings.Repeat(char, size/len(char)-2) + `"}`
			if j, ok := jobOf([]byte(body)); ok {
				requireCarried(t, j)
			} else {
				require.Greater(t, size, maxPayloadBytes/6, "%q", char)
			}
		}
	}
}
