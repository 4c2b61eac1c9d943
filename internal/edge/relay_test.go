package edge

import (
	"testing"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"dogwoodknot.example/dogwoodknot/internal/platform"
)

// Guards against an instance without store and without a responsive instance to read through that leaves no trace of it in its log.
func TestMissingReaderOfStoreIsLogged(t *testing.T) {
	core, logs := observer.New(zap.DebugLevel)
	f := &relayedFeed{edge: &Edge{fleet: newTestFleet(t).fleet, log: zap.New(core)}, prefix: "p/"}
	err := f.readThroughPeer(func(string) error { return nil })
	if !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("read without another instance: %v", err)
	}
	if n := logs.FilterField(zap.String("prefix", "p/")).Len(); n != 1 {
		t.Errorf("%d log lines, want 1: %v", n, logs.All())
	}
}
