package cellhost

import (
	"context"
	"time"
)

// learnedTimeout bounds the read of what the last owner had learned. It takes place while
// the cell is loaded, and a claim does not wait for it much longer than that.
const learnedTimeout = 200 * time.Millisecond

// readLearned begins to read the row of what the last owner had learned. The function that
// it returns waits for the row, or for why it could not be read.
func (h *Host) readLearned(ctx context.Context) func() (row []byte, failure string) {
	if h.LoadLearned == nil {
		return func() ([]byte, string) { return nil, "" }
	}
	type result struct {
		row     []byte
		failure string
	}
	done := make(chan result, 1)
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, learnedTimeout)
		defer cancel()
		row, err := h.LoadLearned(callCtx)
		if err != nil {
			done <- result{failure: err.Error()}
			return
		}
		done <- result{row: row}
	}()
	return func() ([]byte, string) {
		r := <-done
		return r.row, r.failure
	}
}
