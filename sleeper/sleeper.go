// Package sleeper waits for a time, or until a context ends.
//
//	if err := sleeper.Sleep(ctx, 20*time.Millisecond); err != nil {
//		return err // ctx has ended
//	}
package sleeper

import (
	"context"
	"time"
)

// Sleep waits for d. It returns the cause of ctx when that ends first, or has ended.
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
