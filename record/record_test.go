package record_test

import (
	"encoding/json"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/record"
)

func TestValidateChecksNameSchemaAndData(t *testing.T) {
	for _, c := range []struct {
		kind, name, data string
		schema           int
		want             error
	}{
		{"team", "school", `{"title":"School"}`, 1, nil},
		{"share", "school", `{"weight":3}`, 1, nil},
		{"share", "school", `{"weight":0.5}`, 2, nil},
		{"share", "school", `{"weight":0.5}`, 1, record.ErrInvalid},
		{"share", "school", `{"weight":0}`, 2, record.ErrInvalid},
		{"share", "school", `{"weight":3}`, 3, record.ErrUnknownSchema},
		{"limit", "school", `{"tasks":-1}`, 1, record.ErrInvalid},
		{"limit", "school", `{"running":{"tasks":40}}`, 2, nil},
		{"limit", "school", `{"tasks":1e99}`, 1, record.ErrInvalid},
		{"queue", "open", `{"team":"school","open":true}`, 1, nil},
		{"queue", "open", `{"team":"No Team"}`, 1, record.ErrInvalid},
		{"host", "w1", `{"drain":true}`, 1, nil},
		{"host", "W1", `{"drain":true}`, 1, record.ErrInvalid},
		{"host", "w1", ``, 1, record.ErrInvalid},
		{"gong", "w1", `{}`, 1, record.ErrInvalid},
	} {
		r := record.Record{Kind: c.kind, Name: c.name, Schema: c.schema, Data: json.RawMessage(c.data)}
		err := r.Validate()
		require.True(t, errors.Is(err, c.want), "%s/%s %d %s: %v", c.kind, c.name, c.schema, c.data, err)
	}
}

// TestHashedKeyRecordDoesNotContainTheSecret checks that HashSecret replaces the
// secret by a hash that only the secret matches, and that it rejects a short
// secret.
func TestHashedKeyRecordDoesNotContainTheSecret(t *testing.T) {
	const secret = "sixteen-bytes-or-more"
	r := record.Record{Kind: record.KindKey, Name: "k", Schema: 1, Data: json.RawMessage(`{"team":"school","secret":"` + secret + `"}`)}
	hashed, err := r.HashSecret()
	require.NoError(t, err)
	require.NotContains(t, string(hashed.Data), secret)
	k, err := hashed.Key()
	require.NoError(t, err)
	require.True(t, k.Verify(secret))
	require.False(t, k.Verify(secret+"x"))
	r.Data = json.RawMessage(`{"team":"school","secret":"short"}`)
	_, err = r.HashSecret()
	require.True(t, errors.Is(err, record.ErrInvalid))
}

// FuzzDecode checks that a valid record has a known schema, and that it is
// still valid, under the same row key, after it is encoded and decoded.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"kind":"limit","name":"a","schema":2,"revision":1,"data":{"running":{"tasks":4}}}`))
	f.Add([]byte(`{"kind":"key","name":"a","schema":1,"revision":1,"data":{"team":"a","salt":"00","hash":"00"}}`))
	f.Add([]byte(`{"kind":"share","name":"a","schema":9,"revision":1,"data":{"x":[]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := record.Decode(data)
		if err != nil || r.Validate() != nil {
			return
		}
		require.True(t, r.Known())
		encoded, err := json.Marshal(r)
		require.NoError(t, err)
		decoded, err := record.Decode(encoded)
		require.NoError(t, err)
		require.NoError(t, decoded.Validate())
		require.Equal(t, r.RowKey(), decoded.RowKey())
	})
}
