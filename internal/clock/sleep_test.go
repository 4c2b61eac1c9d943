package clock

import (
	"context"
	"errors"
	"testing"
	"time"
)

// Guards against a wait that ends early, that outlives its context, or that hides that the context has ended.
func TestSleep(t *testing.T) {
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	soon, stop := context.WithTimeout(t.Context(), time.Millisecond)
	defer stop()
	for name, tc := range map[string]struct {
		ctx  context.Context
		d    time.Duration
		want error
	}{
		"whole":             {t.Context(), 20 * time.Millisecond, nil},
		"none":              {t.Context(), 0, nil},
		"negative":          {t.Context(), -time.Hour, nil},
		"ended":             {ended, time.Hour, context.Canceled},
		"ended, no wait":    {ended, 0, context.Canceled},
		"ends in the sleep": {soon, time.Hour, context.DeadlineExceeded},
	} {
		start := time.Now()
		err := Sleep(tc.ctx, tc.d)
		if took := time.Since(start); !errors.Is(err, tc.want) || (err == nil && took < tc.d) || took > time.Minute {
			t.Errorf("%s: %v after %s", name, err, took)
		}
	}
}
