package document_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/document"
)

type body struct {
	Name string          `json:"name"`
	Data json.RawMessage `json:"data"`
}

func TestDecodeRejectsMalformedDocuments(t *testing.T) {
	deep := strings.Repeat("[", document.MaxDepth+1) + strings.Repeat("]", document.MaxDepth+1)
	for name, text := range map[string]string{
		"empty": "", "truncated": `{"name":"x"`, "unknown field": `{"nom":"x"}`, "duplicate field": `{"name":"x","name":"y"}`,
		"trailing data": `{"name":"x"} 1`, "not UTF-8": "{\"name\":\"\xff\"}", "too deep": `{"data":` + deep + `}`,
		"nested duplicate field": `{"data":{"a":1,"a":2}}`,
		"half a pair":            `{"name":"\ud83d"}`, "half a pair at the end": `{"name":"x","data":"\uD83D`, "second half": `{"name":"\udE00"}`,
		"halves in the wrong order": `{"name":"\ude00\ud83d"}`, "half a pair and a letter": `{"name":"\ud83d\u0041"}`, "two first halves": `{"name":"\ud83d\ud83d\ude00"}`,
	} {
		t.Run(name, func(t *testing.T) {
			var b body
			require.True(t, errors.Is(document.Decode([]byte(text), &b), document.ErrMalformed))
		})
	}
	var b body
	require.NoError(t, document.Decode([]byte(`{"name":"x","data":[{"a":1},{"a":2}]}`), &b))
	require.Equal(t, "x", b.Name)
	require.NoError(t, document.Decode([]byte(`{"name":"\ud83d\ude00 \\ud83d \u00e9 \\\ud83d\ude00"}`), &b))
	require.Equal(t, "\U0001f600 \\ud83d \u00e9 \\\U0001f600", b.Name)
}

// FuzzDecode checks that an accepted document is valid JSON and is still
// accepted after it is encoded and decoded.
func FuzzDecode(f *testing.F) {
	for _, text := range []string{`{"name":"x","data":[1,{"a":null}]}`, `{"data":{}}`, `[]`, `{"name":"é"}`, `{"name":1}`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var b body
		if document.Decode(data, &b) != nil {
			return
		}
		require.True(t, json.Valid(data))
		encoded, err := json.Marshal(b)
		require.NoError(t, err)
		var decoded body
		require.NoError(t, document.Decode(encoded, &decoded))
		require.Equal(t, b.Name, decoded.Name)
	})
}
