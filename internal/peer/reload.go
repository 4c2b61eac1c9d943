package peer

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"
)

// ReloadOnHangup calls load at each SIGHUP until ctx ends, and puts the certificate and CAs that it returns in force.
// Content that cannot be loaded is logged, and the former one stays in force.
func (t *Transport) ReloadOnHangup(ctx context.Context, load func() (PEM, error)) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-signals:
		case <-ctx.Done():
			return
		}
		content, err := load()
		if err == nil {
			err = t.Reload(content)
		}
		if err != nil {
			t.log.Error("certificates were not reloaded", zap.Error(err))
			continue
		}
		t.log.Info("certificates were reloaded")
	}
}
