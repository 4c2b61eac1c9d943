package clock

import (
	"context"
	"time"
)

// Sleep waits for d. It returns the error of ctx if ctx has ended or ends first; a duration of 0 or less does not wait.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
