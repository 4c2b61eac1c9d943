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

// serviceDocument is the peer service that returns the encoded configuration in force.
const serviceDocument = "edge.document"

// fetchDocument fetches a newer configuration from an instance that has it in force, unless a fetch is in progress. It is needed
// when the store rejects the calls of this instance but serves others.
func (e *Edge) fetchDocument(instance string) {
	if !e.fetching.CompareAndSwap(false, true) {
		return
	}
	e.spawn(func(ctx context.Context) {
		defer e.fetching.Store(false)
		// Usually the store delivers the same version within this time.
		if clock.Sleep(ctx, documentDelay) != nil {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, documentTimeout)
		defer cancel()
		var doc wire.EdgeDocument
		if err := e.network.Call(ctx, instance, serviceDocument, &wire.EdgeDocumentRequest{}, &doc); err != nil {
			e.log.Warn("newer configuration could not be fetched from another instance; keeping the one in force", zap.String("peer", instance), zap.Error(err))
			return
		}
		if doc.GetVersion() > e.state.version() {
			e.state.accept(doc.GetValue(), instance)
		}
	})
}

const (
	// documentDelay is how long to wait for the store before a configuration is fetched from another instance: the watch of the
	// store returns it within the pause between two watches.
	documentDelay = 400 * time.Millisecond
	// documentTimeout bounds the fetch of up to a megabyte over a wide-area link.
	documentTimeout = 2 * time.Second
)

// serveDocument returns the configuration in force to another instance.
func (e *Edge) serveDocument(context.Context, peer.Identity, *wire.EdgeDocumentRequest) (proto.Message, error) {
	c := e.state.configuration.Load()
	if c == nil {
		return nil, errors.New("no configuration is in force")
	}
	return &wire.EdgeDocument{Version: c.Version, Value: c.document}, nil
}
