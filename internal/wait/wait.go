// Package wait provides timed waits that end early when a context is done.
package wait

import (
	"context"
	"time"
)

// For waits for d. It returns false if ctx is done before d has passed.
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

// Every calls do once per interval until ctx is done.
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
