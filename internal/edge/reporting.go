package edge

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/fleetview"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// Peer services by which instances exchange their state.
const (
	serviceReport  = "edge.report"
	serviceSummary = "edge.summary"
)

const (
	// summaryInterval is the interval of summaries to other regions, about as long as the latency to them.
	summaryInterval = 120 * time.Millisecond
	// unresponsiveTicks and minUnresponsive give the time without an answer after which an instance looks for another parent:
	// some intervals, and as long as a small machine may stand still in an overload.
	unresponsiveTicks = 4
	minUnresponsive   = 400 * time.Millisecond
	// answerTimeout bounds the time until the first answer on a stream: a handshake and an interval.
	answerTimeout = time.Second
	// excludeAsParentFor is how long an instance that has failed to answer is not chosen as parent or root.
	excludeAsParentFor = time.Second
	// rootDelay is how long an instance that is not the highest-ranked must be without parent until it acts as the root: some
	// attempts to find one.
	rootDelay = 500 * time.Millisecond
	// parentRetryDelay is the delay before the next parent is tried.
	parentRetryDelay = 20 * time.Millisecond
	// parentCheckInterval is the interval of checks whether another instance should be the parent.
	parentCheckInterval = time.Second
)

// errOtherChosen ends a stream because another instance is used from now on.
var errOtherChosen = errors.New("another instance is used from now on")

// runReports reports to the parent of this instance until ctx ends.
func (v *view) runReports(ctx context.Context) {
	var trust trustWaits
	v.edge.awaitAnnounced(ctx)
	for ctx.Err() == nil {
		parent, ok := v.edge.fleet.parent()
		if !ok {
			_ = clock.Sleep(ctx, v.interval()) // the loop checks ctx
			continue
		}
		err := v.reportTo(ctx, parent)
		if ctx.Err() != nil {
			return
		}
		v.edge.log.Info("stream of reports ended", zap.String("peer", parent), zap.Error(err))
		if !errors.Is(err, errOtherChosen) && !isCode(err, codeNotYet) && !trust.wait(ctx, v.edge, parent, err) {
			v.edge.fleet.excludeAsParent(parent)
		}
		_ = clock.Sleep(ctx, parentRetryDelay)
	}
}

const (
	// codeNotYet marks an error of a service that this instance will offer soon, when it knows the calling instance or its own
	// place in the fleet.
	codeNotYet = "not_yet"
	// codeNotRoot marks an error whose message names the root of the region.
	codeNotRoot = "not_root"
)

func isCode(err error, code string) bool { return remoteMessage(err, code) != "" }

// remoteMessage returns the message of another instance's error with a code, or "".
func remoteMessage(err error, code string) string {
	var remote *peer.RemoteError
	if errors.As(err, &remote) && remote.Code == code {
		return remote.Message
	}
	return ""
}

// reportTo reports to a parent until it fails, becomes unresponsive or should no longer be the parent.
func (v *view) reportTo(ctx context.Context, parent string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	began := v.edge.clock.Now()
	timer := time.AfterFunc(answerTimeout, func() {
		if _, answered := v.parentAnsweredAt(); !answered {
			cancel(errors.New("no answer to reports"))
		}
	})
	defer timer.Stop()
	stream, err := v.edge.network.Open(ctx, parent, serviceReport)
	if err != nil {
		return err
	}
	defer stream.Close()
	compact := v.edge.fleet.regionShape().heads
	err = withNode(v, func(n *fleetview.Node) error {
		n.SetCompact(compact)
		return n.SetParent(began, parent)
	})
	if err != nil {
		return err
	}
	defer func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.parentLostAt = v.edge.clock.Now()
		v.node.ClearParent(v.parentLostAt)
	}()
	v.edge.goroutines.Go(func() {
		cancel(v.edge.containError("digests of the parent", func() error { return v.receiveDigests(stream) }))
	})
	v.edge.goroutines.Go(func() { v.watchParent(ctx, parent, cancel) })
	for {
		report := withNode(v, func(n *fleetview.Node) *wire.EdgeReport { return n.NextReport(v.edge.clock.Now()) })
		if err := stream.Send(report); err != nil {
			return err
		}
		every := v.interval()
		if clock.Sleep(ctx, every) != nil {
			return context.Cause(ctx)
		}
		now := v.edge.clock.Now()
		if at, answered := v.parentAnsweredAt(); answered && now.Sub(at) > max(minUnresponsive, unresponsiveTicks*every) {
			return errors.Newf("no answer to reports for %s", now.Sub(at))
		}
	}
}

// withNode calls f with the node, which nothing else uses meanwhile, and returns its result.
func withNode[T any](v *view, f func(*fleetview.Node) T) T {
	v.mu.Lock()
	defer v.mu.Unlock()
	return f(v.node)
}

// watchParent ends the use of a parent once another instance should be the parent and answers.
func (v *view) watchParent(ctx context.Context, used string, end context.CancelCauseFunc) {
	for clock.Sleep(ctx, parentCheckInterval) == nil {
		best, ok := v.edge.fleet.parent()
		if !ok {
			end(errOtherChosen)
			return
		}
		if best == used {
			continue
		}
		if err := v.edge.ping(ctx, best); err != nil {
			v.edge.log.Debug("preferred parent does not answer; keeping the present one", zap.String("peer", best), zap.Error(err))
			v.edge.fleet.excludeAsParent(best)
			continue
		}
		end(errOtherChosen)
		return
	}
}

// parentAnsweredAt returns when the last answer of the parent was received, and false if it has not answered yet.
func (v *view) parentAnsweredAt() (clock.Instant, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.node.ParentLastReceived()
}

// receiveDigests applies the digests of the parent until the stream ends.
func (v *view) receiveDigests(stream peer.Stream) error {
	for first := true; ; first = false {
		var d wire.EdgeDigest
		if err := stream.Recv(&d); err != nil {
			return err
		}
		var events fleetview.Events
		var parent string
		err := withNode(v, func(n *fleetview.Node) (err error) {
			parent = n.Parent()
			events, err = n.ReceiveDigest(v.edge.clock.Now(), &d)
			return err
		})
		if err != nil {
			return err
		}
		if first {
			v.edge.log.Info("fleet is heard through an instance above", zap.String("peer", parent))
		}
		select {
		case v.digestReceived <- struct{}{}:
		default: // the last one has not been passed on yet
		}
		v.edge.applyEvents(events)
		v.apply()
	}
}

// closeAtEnd closes a stream when this instance ends. Otherwise the other instance would keep it open until it notices the end.
func (e *Edge) closeAtEnd(stream peer.Stream) (stop func() bool) {
	return context.AfterFunc(e.ctx, func() { _ = stream.Close() }) // Recv returns the error
}

// serveReport receives the reports of a child and answers with digests, until the stream ends or this instance does.
func (v *view) serveReport(_ context.Context, from peer.Identity, stream peer.Stream) error {
	if !v.edge.fleet.knows(from) || from.Region != v.edge.options.Self.Region {
		return peer.NewError(codeNotYet, "incarnation is not known")
	}
	defer v.edge.closeAtEnd(stream)()
	var source *fleetview.Source
	err := withNode(v, func(n *fleetview.Node) (err error) {
		source, err = n.AddChild(from)
		return err
	})
	if err != nil {
		return peer.NewError(codeNotYet, err.Error())
	}
	ctx, cancel := context.WithCancel(v.edge.ctx)
	var sending sync.WaitGroup
	sending.Go(func() { v.edge.contain("digests to a child", func() { v.sendDigests(ctx, source, stream) }) })
	defer sending.Wait()
	defer cancel()
	defer func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.node.StreamEnded(source)
	}()
	for {
		var r wire.EdgeReport
		if err := stream.Recv(&r); err != nil {
			return withoutEOF(err)
		}
		root := false
		err := withNode(v, func(n *fleetview.Node) error {
			root = n.IsRoot()
			return n.ReceiveReport(v.edge.clock.Now(), source, &r)
		})
		if err != nil {
			return err
		}
		if root {
			v.edge.applyEvents(fleetview.Events{PromptParts: r.GetParts(), Rejections: r.GetRefusals()})
		}
	}
}

// withoutEOF returns nil for the regular end of a stream, and err otherwise.
func withoutEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// sendDigests sends a child a digest after each tick.
func (v *view) sendDigests(ctx context.Context, source *fleetview.Source, stream peer.Stream) {
	for {
		select {
		case <-v.nextTick():
		case <-ctx.Done():
			return
		}
		d := withNode(v, func(n *fleetview.Node) *wire.EdgeDigest { return n.DigestFor(source) })
		if d == nil {
			continue
		}
		if err := stream.Send(d); err != nil {
			v.edge.log.Debug("digest could not be sent to a child; ending its stream", zap.Error(err))
			return // Recv of the stream returns the error
		}
	}
}

// actsAsRoot reports whether this instance acts as the root of its region: it has no parent, and no other instance ranks higher
// or none of them has answered.
func (v *view) actsAsRoot() bool {
	_, hasParent := v.edge.fleet.parent()
	v.mu.Lock()
	defer v.mu.Unlock()
	now, delay := v.edge.clock.Now(), rootDelay
	if now.Sub(v.edge.startedAt) < trustWait {
		delay = trustWait // the parent may not know this instance yet
	}
	return v.node.IsRoot() && (!hasParent || now.Sub(v.parentLostAt) > delay)
}

// runSummaries sends summaries to the root of a remote region while this instance is the root of its own, until ctx ends.
func (v *view) runSummaries(ctx context.Context, region string) {
	named := "" // the root according to another instance there
	var trust trustWaits
	v.edge.awaitAnnounced(ctx)
	for clock.Sleep(ctx, summaryInterval) == nil {
		if !v.actsAsRoot() {
			named = ""
			continue
		}
		root, ok := v.edge.fleet.rootOf(region)
		if named != "" {
			root, ok = named, true
		}
		if !ok {
			continue
		}
		err := v.sendSummaries(ctx, region, root)
		if ctx.Err() != nil {
			return
		}
		if named = remoteMessage(err, codeNotRoot); named != "" {
			continue
		}
		v.edge.log.Info("stream of summaries ended", zap.String("peer", root), zap.String("peer_region", region), zap.Error(err))
		if !errors.Is(err, errOtherChosen) && !isCode(err, codeNotYet) && !trust.wait(ctx, v.edge, root, err) {
			v.edge.fleet.excludeAsParent(root)
		}
	}
}

// sendSummaries sends summaries to an instance until it fails or becomes unresponsive, or until this instance is no longer a
// root.
func (v *view) sendSummaries(ctx context.Context, region, root string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var answered atomic.Int64 // instant
	began := v.edge.clock.Now()
	timer := time.AfterFunc(answerTimeout, func() {
		if answered.Load() == 0 {
			cancel(errors.New("no answer to summaries"))
		}
	})
	defer timer.Stop()
	stream, err := v.edge.network.Open(ctx, root, serviceSummary)
	if err != nil {
		return err
	}
	defer stream.Close()
	link := withNode(v, func(n *fleetview.Node) *fleetview.SummaryStream { return n.OpenSummaries(began, region) })
	v.edge.goroutines.Go(func() {
		for {
			if err := stream.Recv(&wire.EdgeDigest{}); err != nil {
				cancel(err)
				return
			}
			if answered.Swap(int64(v.edge.clock.Now())) == 0 {
				v.edge.log.Info("another region is told of this one", zap.String("peer", root), zap.String("peer_region", region))
			}
		}
	})
	for v.actsAsRoot() {
		summary := withNode(v, func(n *fleetview.Node) *wire.EdgeSummary { return n.NextSummary(v.edge.clock.Now(), link) })
		if err := stream.Send(summary); err != nil {
			return err
		}
		if clock.Sleep(ctx, summaryInterval) != nil {
			return context.Cause(ctx)
		}
		if gap := v.edge.clock.Now().Sub(clock.Instant(answered.Load())); answered.Load() > 0 && gap > answerTimeout {
			return errors.Newf("no answer to summaries for %s", gap)
		}
	}
	return errOtherChosen
}

// serveSummary receives the summaries of another region's root.
func (v *view) serveSummary(_ context.Context, from peer.Identity, stream peer.Stream) error {
	if !v.edge.fleet.knows(from) || from.Region == v.edge.options.Self.Region {
		return peer.NewError(codeNotYet, "incarnation is not known")
	}
	defer v.edge.closeAtEnd(stream)()
	source := withNode(v, func(n *fleetview.Node) *fleetview.Source { return n.AddRemoteRoot(from) })
	for {
		var s wire.EdgeSummary
		if err := stream.Recv(&s); err != nil {
			return withoutEOF(err)
		}
		root := ""
		err := withNode(v, func(n *fleetview.Node) error {
			root = n.RegionRoot()
			return n.ReceiveSummary(v.edge.clock.Now(), source, &s)
		})
		if err != nil {
			return err
		}
		if root != v.edge.options.Self.Instance {
			return peer.NewError(codeNotRoot, root)
		}
		if err := stream.Send(&wire.EdgeDigest{Acknowledged: s.GetNumber()}); err != nil {
			return err
		}
	}
}
