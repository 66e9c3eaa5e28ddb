// Package wait waits for times that a context can cut short.
package wait

import (
	"context"
	"time"
)

// For waits for d and reports whether it passed before ctx ended.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Every calls do each time the interval has passed, until ctx ends.
func Every(ctx context.Context, interval time.Duration, do func(now time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			do(now)
		}
	}
}
