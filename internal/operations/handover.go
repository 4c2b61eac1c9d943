package operations

import (
	"context"
	"io"
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"dogwoodknot.example/dogwoodknot/internal/core/atmostonce"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

const (
	hourMillis = int64(time.Hour / time.Millisecond)
	// handoverChunk is the number of records in a message, about 140 KB.
	handoverChunk = 4000
	// handoverTries bounds the tries at an heir whose acknowledgement was lost.
	handoverTries = 3
	// maxHandoverRecords bounds what a peer can make this instance collect before the budget is checked.
	maxHandoverRecords = 1_000_000
	// heirTimeout bounds a notice or query to one peer.
	heirTimeout = 2 * time.Second
	// heirParallel bounds the concurrent notices or queries.
	heirParallel = 16
)

// errRefused reports an heir that has certainly not taken the records.
var errRefused = errors.New("the records were not taken")

// handOverAll hands the records of all incarnations that this instance answers for to one instance of its region.
func (s *Service) handOverAll(ctx context.Context) error {
	s.mu.Lock()
	handovers := map[uint64]atmostonce.Handover{}
	for incarnation, issuer := range s.issued {
		handovers[incarnation] = issuer.HandOver()
	}
	s.mu.Unlock()
	var errs error
	for incarnation, h := range handovers {
		if err := s.handOver(ctx, incarnation, h); err != nil {
			errs = errors.Join(errs, err)
		}
	}
	return errs
}

// handOver tries one heir after the other until one has taken the records or may have.
func (s *Service) handOver(ctx context.Context, incarnation uint64, h atmostonce.Handover) error {
	self, asked := s.o.Network.Self(), false
	for _, to := range s.o.Network.Connected() {
		if to.Region != self.Region || to.Instance == self.Instance {
			continue
		}
		asked = true
		err := s.handOverTo(ctx, to, incarnation, h)
		// A second heir is asked only if the first certainly has no records: two heirs would both run an unused id.
		if err == nil || !errors.Is(err, errRefused) {
			return err
		}
		s.warn("hand over operation records", zap.String("heir", to.Instance), zap.Error(err))
	}
	if len(h.Records) == 0 {
		return nil // only unused ids are lost: they are answered "unknown" and never run
	}
	if !asked {
		// Nothing is left to be done, so that the stop is complete.
		s.warn("last instance of its region stops: repeats of requests with ids that it issued are answered operation_issuer_gone and never run",
			zap.String("region", self.Region), zap.Int("records", len(h.Records)))
		return nil
	}
	return errors.Newf("no instance of region %s has taken the %d operation records", self.Region, len(h.Records))
}

// handOverTo repeats the handover to one heir while its answer is lost. The heir takes an incarnation only once. The
// error is marked errRefused only if no try can have had an effect.
func (s *Service) handOverTo(ctx context.Context, to peer.Identity, incarnation uint64, h atmostonce.Handover) error {
	var err error
	for try := range handoverTries {
		var refused bool
		refused, err = s.sendHandover(ctx, to, incarnation, h)
		if err == nil {
			return nil
		}
		if refused && try == 0 {
			return errors.Mark(err, errRefused)
		}
		if ctx.Err() != nil {
			break
		}
	}
	return errors.Wrapf(err, "hand over to %s: outcome is unknown", to.Instance)
}

// sendHandover makes one try. refused says that this try certainly had no effect: its last chunk was not sent, or the
// heir itself says so.
func (s *Service) sendHandover(ctx context.Context, to peer.Identity, incarnation uint64, h atmostonce.Handover) (refused bool, err error) {
	stream, err := s.o.Network.Open(ctx, to.Instance, serviceHandover)
	if err != nil {
		return errors.Is(err, peer.ErrNotSent) || errors.Is(err, peer.ErrUnknownPeer), err
	}
	defer stream.Close()
	chunks := handoverChunks(to, incarnation, h)
	for i, c := range chunks {
		if err := stream.Send(c); err != nil {
			return i < len(chunks)-1, err
		}
	}
	if err := stream.CloseSend(); err != nil {
		return false, err
	}
	err = stream.Recv(&wire.OperationHandoverResult{})
	var remote *peer.RemoteError
	return errors.As(err, &remote) && remote.Code != peer.CodeInternal, err
}

func handoverChunks(to peer.Identity, incarnation uint64, h atmostonce.Handover) []*wire.OperationHandoverChunk {
	var chunks []*wire.OperationHandoverChunk
	records := h.Records
	for {
		n := min(len(records), handoverChunk)
		c := &wire.OperationHandoverChunk{
			Incarnation:     incarnation,
			HeirIncarnation: to.Incarnation,
			HorizonMillis:   h.Horizon,
			Ran:             make([]byte, (n+7)/8),
			Last:            n == len(records),
		}
		for i, r := range records[:n] {
			c.Records = append(append(c.Records, r.Key[:]...), r.Body[:]...)
			c.Hours = append(c.Hours, r.KeyTime/hourMillis)
			if r.Ran {
				c.Ran[i/8] |= 1 << (i % 8)
			}
		}
		chunks = append(chunks, c)
		if c.Last {
			return chunks
		}
		records = records[n:]
	}
}

// handleHandover takes the records of another incarnation once all chunks are here.
func (s *Service) handleHandover(_ context.Context, from peer.Identity, stream peer.Stream) error {
	if from.Region != s.region() {
		return errors.Newf("instance %s of region %s cannot hand records to region %s", from.Instance, from.Region, s.region())
	}
	h := atmostonce.Handover{Horizon: math.MinInt64}
	for {
		c := &wire.OperationHandoverChunk{}
		if err := stream.Recv(c); err != nil {
			if errors.Is(err, io.EOF) {
				return errors.New("the handover ended before its last chunk")
			}
			return err
		}
		if err := s.collect(&h, c); err != nil {
			return err
		}
		if !c.GetLast() {
			continue
		}
		if err := s.adopt(c.GetIncarnation(), h); err != nil {
			return err
		}
		s.announceHeir(c.GetIncarnation())
		return stream.Send(&wire.OperationHandoverResult{})
	}
}

func (s *Service) collect(h *atmostonce.Handover, c *wire.OperationHandoverChunk) error {
	if c.GetHeirIncarnation() != s.o.Network.Self().Incarnation {
		return errors.New("the handover is meant for another incarnation of this instance")
	}
	n := len(c.GetHours())
	if len(c.GetRecords()) != n*identBytes || len(c.GetRan()) != (n+7)/8 {
		return errors.New("the handover has fields of different lengths")
	}
	if len(h.Records)+n > maxHandoverRecords {
		return errors.Newf("the handover has more than %d records", maxHandoverRecords)
	}
	h.Horizon = max(h.Horizon, c.GetHorizonMillis())
	for i, hour := range c.GetHours() {
		b := c.GetRecords()[i*identBytes:]
		h.Records = append(h.Records, atmostonce.HandedRecord{
			Ident:   atmostonce.Ident{Key: atmostonce.Key(b[:keyBytes]), Body: atmostonce.Body(b[keyBytes:identBytes])},
			KeyTime: hour * hourMillis,
			Ran:     c.GetRan()[i/8]&(1<<(i%8)) != 0,
		})
	}
	return nil
}

// adopt makes this instance answer for an incarnation. A repeated handover changes nothing, since ids may have run
// here since the first one.
func (s *Service) adopt(incarnation uint64, h atmostonce.Handover) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.issued[incarnation] != nil {
		return nil
	}
	if s.stopping {
		return errors.New("the instance is stopping itself")
	}
	issuer, ok := atmostonce.FromHandover(h, s.answers, s.budget)
	if !ok {
		return errors.Newf("no room for %d records", len(h.Records))
	}
	s.issued[incarnation] = issuer
	return nil
}

// announceHeir tells all connected instances that this one answers for the incarnation.
func (s *Service) announceHeir(incarnation uint64) {
	self := s.o.Network.Self()
	notice := heirNotice(incarnation, self)
	s.spawn(func() {
		var g errgroup.Group
		g.SetLimit(heirParallel)
		for _, to := range s.o.Network.Connected() {
			g.Go(func() error {
				ctx, cancel := context.WithTimeout(s.base, heirTimeout)
				defer cancel()
				// An instance that misses the notice asks when it needs the heir.
				return s.o.Network.Call(ctx, to.Instance, serviceHeirNotice, notice, &wire.OperationEmpty{})
			})
		}
		if err := g.Wait(); err != nil {
			s.o.Logger.Debug("announce heir", zap.Error(err))
		}
	})
}

func heirNotice(incarnation uint64, heir peer.Identity) *wire.OperationHeirNotice {
	return &wire.OperationHeirNotice{Incarnation: incarnation, Heir: heir.Instance, HeirIncarnation: heir.Incarnation}
}

func (s *Service) handleHeirNotice(_ context.Context, from peer.Identity, n *wire.OperationHeirNotice) (proto.Message, error) {
	if n.GetHeir() != from.Instance || n.GetHeirIncarnation() != from.Incarnation {
		return nil, errors.New("an instance can name only itself as heir")
	}
	s.heirs.Add(n.GetIncarnation(), heir{from.Instance, from.Incarnation})
	return &wire.OperationEmpty{}, nil
}

func (s *Service) handleHeirQuery(_ context.Context, _ peer.Identity, q *wire.OperationHeirQuery) (proto.Message, error) {
	if s.holds(q.GetIncarnation()) {
		self := s.o.Network.Self()
		return &wire.OperationHeirAnswer{Heir: self.Instance, HeirIncarnation: self.Incarnation}, nil
	}
	h, _ := s.heirs.Get(q.GetIncarnation())
	return &wire.OperationHeirAnswer{Heir: h.instance, HeirIncarnation: h.incarnation}, nil
}

// findHeir asks the connected instances of the issuer's region who answers for its ids.
func (s *Service) findHeir(ctx context.Context, id *wire.OperationID) (heir, bool) {
	ctx, cancel := context.WithTimeout(ctx, heirTimeout)
	defer cancel()
	answers := make(chan heir, 1)
	var g errgroup.Group
	g.SetLimit(heirParallel)
	for _, to := range s.o.Network.Connected() {
		if to.Region != id.GetRegion() {
			continue
		}
		g.Go(func() error {
			a := &wire.OperationHeirAnswer{}
			q := &wire.OperationHeirQuery{Incarnation: id.GetIncarnation()}
			if err := s.o.Network.Call(ctx, to.Instance, serviceHeirQuery, q, a); err != nil || a.GetHeir() == "" {
				return err
			}
			select {
			case answers <- heir{a.GetHeir(), a.GetHeirIncarnation()}:
				cancel()
			default:
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		s.o.Logger.Debug("find heir", zap.Error(err))
	}
	select {
	case h := <-answers:
		s.heirs.Add(id.GetIncarnation(), h)
		return h, true
	default:
		return heir{}, false
	}
}
