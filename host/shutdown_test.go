package host

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestLeavingHostKeepsNoConnections checks that callers do not reuse a connection that
// the shutdown is about to close.
func TestLeavingHostKeepsNoConnections(t *testing.T) {
	var h Host
	served := h.closeWhileLeaving(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
	connection := func() string {
		recorder := httptest.NewRecorder()
		served.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/v1/requests", http.NoBody))
		return recorder.Result().Header.Get("Connection")
	}
	require.Empty(t, connection())
	h.leaving.Store(true)
	require.Equal(t, "close", connection())
}
