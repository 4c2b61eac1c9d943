package edge

import (
	"net/http"
	"runtime/debug"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/core/placement"
)

// placementFailed is the reason for which a request gets no endpoint here when the choice of one has panicked.
const placementFailed placement.Reason = "internal-error"

// reportPanic logs and counts a panic that ends no more than what it names.
func (e *Edge) reportPanic(place string, cause any) {
	e.metrics.panics.Inc(1)
	e.log.Error("panic; only what it has interrupted ends", zap.String("place", place), zap.Any("cause", cause), zap.ByteString("stack", debug.Stack()))
}

// contain calls f. A panic ends this call of f and not the process.
func (e *Edge) contain(place string, f func()) {
	defer func() {
		if cause := recover(); cause != nil {
			e.reportPanic(place, cause)
		}
	}()
	f()
}

var errPanicked = errors.New("panic, see the log")

// containError calls f and returns its error, or errPanicked after a panic.
func (e *Edge) containError(place string, f func() error) error {
	err := errPanicked
	e.contain(place, func() { err = f() })
	return err
}

// answerPanic answers a request that a panic has ended. It may have run. An answer that has begun cannot be completed; its connection is
// closed.
func (x *exchange) answerPanic(cause any) {
	x.edge.reportPanic("request "+x.head.ID, cause)
	if x.wroteHead {
		x.outcome.reason = "internal error"
		x.breakOff()
	}
	x.outcome.reason = ""
	x.reject(http.StatusBadGateway, "internal error; the request may have run", 0)
}
