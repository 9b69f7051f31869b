// Package pause provides a sleep that ends early when a context is done.
//
// # Usage
//
//	if !pause.Sleep(ctx, time.Second) {
//		return ctx.Err()
//	}
package pause

import (
	"context"
	"time"
)

// Sleep sleeps for d. It returns false if ctx is done first.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
