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

// Peer services of the exchange of views.
const (
	serviceReport  = "edge.report"
	serviceSummary = "edge.summary"
)

const (
	// summaryEvery is the interval of summaries to other regions, whose latency is of the same size.
	summaryEvery = 120 * time.Millisecond
	// silentTicks and silentMin give the silence after which an instance reports to another one: some intervals, and as long as a
	// small machine may stand still in an overload.
	silentTicks = 4
	silentMin   = 400 * time.Millisecond
	// answerWithin bounds the time until the first answer on a stream: a handshake, and an interval.
	answerWithin = time.Second
	// avoidAboveFor is how long nothing is reported to an instance that has failed to answer.
	avoidAboveFor = time.Second
	// rootAfter is how long an instance that ranks below another one finds nobody to report to until it acts as the root: some attempts.
	rootAfter = 500 * time.Millisecond
	// climbRetry is the wait before the next instance is tried.
	climbRetry = 20 * time.Millisecond
	// lookUpEvery is the interval of checks whether another instance should be reported to.
	lookUpEvery = time.Second
)

// errBetter ends a stream because another instance is to be used from now on.
var errBetter = errors.New("another instance is used from now on")

// climb reports to the instance above this one until ctx ends.
func (v *view) climb(ctx context.Context) {
	for ctx.Err() == nil {
		above, ok := v.edge.fleet.above()
		if !ok {
			_ = clock.Sleep(ctx, v.interval()) // the loop sees the end of ctx
			continue
		}
		err := v.reportTo(ctx, above)
		if ctx.Err() != nil {
			return
		}
		v.edge.log.Info("stream of reports ended", zap.String("peer", above), zap.Error(err))
		if !errors.Is(err, errBetter) && !isCode(err, codeNotYet) {
			v.edge.fleet.avoidAbove(above)
		}
		_ = clock.Sleep(ctx, climbRetry)
	}
}

const (
	// codeNotYet marks an error of a service that this instance will offer in a moment, when it knows the caller or its own place.
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

// reportTo reports to an instance until it fails, falls silent or is not the right one any more.
func (v *view) reportTo(ctx context.Context, above string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	began := v.edge.clock.Now()
	timer := time.AfterFunc(answerWithin, func() {
		if _, heard := v.heardAbove(); !heard {
			cancel(errors.New("no answer to reports"))
		}
	})
	defer timer.Stop()
	stream, err := v.edge.network.Open(ctx, above, serviceReport)
	if err != nil {
		return err
	}
	defer stream.Close()
	v.mu.Lock()
	err = v.node.SetParent(began, above)
	v.mu.Unlock()
	if err != nil {
		return err
	}
	defer func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.rootSince = v.edge.clock.Now()
		v.node.ClearParent(v.rootSince)
	}()
	v.edge.work.Go(func() { cancel(v.takeDigests(stream)) })
	v.edge.work.Go(func() { v.watchForBetter(ctx, above, cancel) })
	for {
		v.mu.Lock()
		report := v.node.NextReport(v.edge.clock.Now())
		v.mu.Unlock()
		if err := stream.Send(report); err != nil {
			return err
		}
		every := v.interval()
		if clock.Sleep(ctx, every) != nil {
			return context.Cause(ctx)
		}
		now := v.edge.clock.Now()
		if at, heard := v.heardAbove(); heard && now.Sub(at) > max(silentMin, silentTicks*every) {
			return errors.Newf("no answer to reports for %s", now.Sub(at))
		}
	}
}

// watchForBetter ends the use of an instance once another one is to be reported to and answers.
func (v *view) watchForBetter(ctx context.Context, used string, end context.CancelCauseFunc) {
	for clock.Sleep(ctx, lookUpEvery) == nil {
		best, ok := v.edge.fleet.above()
		if !ok {
			end(errBetter)
			return
		}
		if best == used {
			continue
		}
		if err := v.edge.touch(ctx, best); err != nil {
			v.edge.log.Debug("instance does not answer", zap.String("peer", best), zap.Error(err))
			v.edge.fleet.avoidAbove(best)
			continue
		}
		end(errBetter)
		return
	}
}

// heardAbove returns when the instance above was heard, and false if it has not answered yet.
func (v *view) heardAbove() (clock.Instant, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.node.ParentLastReceived()
}

// takeDigests takes the answers of the instance above until the stream ends.
func (v *view) takeDigests(stream peer.Stream) error {
	for first := true; ; first = false {
		var d wire.EdgeDigest
		if err := stream.Recv(&d); err != nil {
			return err
		}
		v.mu.Lock()
		events, err := v.node.ReceiveDigest(v.edge.clock.Now(), &d)
		above := v.node.Parent()
		v.mu.Unlock()
		if err != nil {
			return err
		}
		if first {
			v.edge.log.Info("fleet is heard through an instance above", zap.String("peer", above))
		}
		v.edge.applyEvents(events)
		v.apply()
	}
}

// closeAtEnd closes a stream when this instance ends: the other one would keep it open until it has noticed.
func (e *Edge) closeAtEnd(stream peer.Stream) (stop func() bool) {
	return context.AfterFunc(e.ctx, func() { _ = stream.Close() }) // Recv returns the error
}

// serveReport takes another instance's reports and answers with the state of the fleet, until the stream ends or this instance does.
func (v *view) serveReport(_ context.Context, from peer.Identity, stream peer.Stream) error {
	if !v.edge.fleet.knows(from) || from.Region != v.edge.options.Self.Region {
		return peer.NewError(codeNotYet, "incarnation is not known")
	}
	defer v.edge.closeAtEnd(stream)()
	v.mu.Lock()
	source, err := v.node.AddChild(from)
	v.mu.Unlock()
	if err != nil {
		return peer.NewError(codeNotYet, err.Error())
	}
	ctx, cancel := context.WithCancel(v.edge.ctx)
	var sending sync.WaitGroup
	sending.Go(func() { v.sendDigests(ctx, source, stream) })
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
			return ended(err)
		}
		v.mu.Lock()
		err := v.node.ReceiveReport(v.edge.clock.Now(), source, &r)
		root := v.node.IsRoot()
		v.mu.Unlock()
		if err != nil {
			return err
		}
		if root {
			v.edge.applyEvents(fleetview.Events{PromptParts: r.GetParts(), Rejections: r.GetRefusals()})
		}
	}
}

// ended takes the regular end of a stream for none.
func ended(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// sendDigests sends an instance below the state of the fleet after each tick.
func (v *view) sendDigests(ctx context.Context, source *fleetview.Source, stream peer.Stream) {
	for {
		select {
		case <-v.nextTick():
		case <-ctx.Done():
			return
		}
		v.mu.Lock()
		d := v.node.DigestFor(source)
		v.mu.Unlock()
		if d == nil {
			continue
		}
		if err := stream.Send(d); err != nil {
			v.edge.log.Debug("state of the fleet was not sent", zap.Error(err))
			return // Recv of the stream returns the error
		}
	}
}

// atRoot reports whether this instance acts as the root of its region: it reports to none and there is none, or none has answered.
func (v *view) atRoot() bool {
	_, below := v.edge.fleet.above()
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.node.IsRoot() && (!below || v.edge.clock.Now().Sub(v.rootSince) > rootAfter)
}

// summarise tells the root of another region the state of this one while this instance is the root here, until ctx ends.
func (v *view) summarise(ctx context.Context, region string) {
	named := "" // the root, as another instance there says
	for clock.Sleep(ctx, summaryEvery) == nil {
		if !v.atRoot() {
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
		err := v.summariseTo(ctx, region, root)
		if ctx.Err() != nil {
			return
		}
		if named = remoteMessage(err, codeNotRoot); named != "" {
			continue
		}
		v.edge.log.Info("stream of summaries ended", zap.String("peer", root), zap.String("peer_region", region), zap.Error(err))
		if !errors.Is(err, errBetter) && !isCode(err, codeNotYet) {
			v.edge.fleet.avoidAbove(root)
		}
	}
}

// summariseTo sends summaries to an instance until it fails or falls silent, or this instance is not a root any more.
func (v *view) summariseTo(ctx context.Context, region, root string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var answered atomic.Int64 // instant
	began := v.edge.clock.Now()
	timer := time.AfterFunc(answerWithin, func() {
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
	v.mu.Lock()
	link := v.node.OpenSummaries(began, region)
	v.mu.Unlock()
	v.edge.work.Go(func() {
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
	for v.atRoot() {
		v.mu.Lock()
		summary := v.node.NextSummary(v.edge.clock.Now(), link)
		v.mu.Unlock()
		if err := stream.Send(summary); err != nil {
			return err
		}
		if clock.Sleep(ctx, summaryEvery) != nil {
			return context.Cause(ctx)
		}
		if silence := v.edge.clock.Now().Sub(clock.Instant(answered.Load())); answered.Load() > 0 && silence > answerWithin {
			return errors.Newf("no answer to summaries for %s", silence)
		}
	}
	return errBetter
}

// serveSummary takes the summaries of another region's root.
func (v *view) serveSummary(_ context.Context, from peer.Identity, stream peer.Stream) error {
	if !v.edge.fleet.knows(from) || from.Region == v.edge.options.Self.Region {
		return peer.NewError(codeNotYet, "incarnation is not known")
	}
	defer v.edge.closeAtEnd(stream)()
	v.mu.Lock()
	source := v.node.AddRemoteRoot(from)
	v.mu.Unlock()
	for {
		var s wire.EdgeSummary
		if err := stream.Recv(&s); err != nil {
			return ended(err)
		}
		v.mu.Lock()
		root := v.node.RegionRoot()
		err := v.node.ReceiveSummary(v.edge.clock.Now(), source, &s)
		v.mu.Unlock()
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
