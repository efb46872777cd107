// Package sleeper waits for a duration or until a context ends.
//
//	if err := sleeper.Sleep(ctx, 20*time.Millisecond); err != nil {
//		return err // ctx has ended
//	}
package sleeper

import (
	"context"
	"time"
)

// Sleep waits for d. If ctx ends first or has already ended, Sleep returns its cause.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return context.Cause(ctx)
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
