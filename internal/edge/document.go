package edge

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// serviceDocument is the peer service that returns the configuration in force.
const serviceDocument = "edge.document"

// wantDocument fetches a newer configuration from the instance that has it in force, unless that is under way. The store may
// turn this instance away while it serves others.
func (e *Edge) wantDocument(instance string) {
	if !e.fetching.CompareAndSwap(false, true) {
		return
	}
	e.spawn(func(ctx context.Context) {
		defer e.fetching.Store(false)
		// The store's own answer is usually on its way.
		if clock.Sleep(ctx, documentDelay) != nil {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, documentTimeout)
		defer cancel()
		var doc wire.EdgeDocument
		if err := e.network.Call(ctx, instance, serviceDocument, &wire.EdgeDocumentRequest{}, &doc); err != nil {
			e.log.Warn("configuration not fetched", zap.String("peer", instance), zap.Error(err))
			return
		}
		if doc.GetVersion() > e.state.version() {
			e.state.accept(doc.GetValue(), instance)
		}
	})
}

const (
	// documentDelay is the wait for the store before a configuration is fetched from another instance: its watch returns
	// within the pause between watches.
	documentDelay = 400 * time.Millisecond
	// documentTimeout bounds the fetch of up to a megabyte over a wide-area link.
	documentTimeout = 2 * time.Second
)

func (e *Edge) serveDocument(context.Context, peer.Identity, *wire.EdgeDocumentRequest) (proto.Message, error) {
	c := e.state.configuration.Load()
	if c == nil {
		return nil, errors.New("no configuration is in force")
	}
	return &wire.EdgeDocument{Version: c.Version, Value: c.document}, nil
}
