// Package pause waits for a time that a context can cut short.
//
// # Usage
//
//	if !pause.For(ctx, time.Second) {
//		return ctx.Err()
//	}
package pause

import (
	"context"
	"time"
)

// For waits for d, and reports false if ctx ended first.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
