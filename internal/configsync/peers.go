package configsync

import (
	"context"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/core/configview"
	"dogwoodknot.example/dogwoodknot/internal/core/rendezvous"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// Services between instances.
const (
	serviceState    = "config.state"
	servicePush     = "config.push"
	serviceFetch    = "config.fetch"
	serviceWithdraw = "config.withdraw"
)

// pushParallelism bounds the calls that one push or withdrawal has open. It covers all neighbours and the instances of other
// data centres at 390 daemons, so that hung peers delay a withdrawal by one timeout only.
const pushParallelism = 64

// withdrawalsPerMessage bounds a message: ids have under 64 bytes.
const withdrawalsPerMessage = 4096

func (s *Syncer) handle(n peer.Network) {
	n.Handle(serviceState, peer.Unary(s.serveState))
	n.Handle(servicePush, peer.Unary(s.servePush))
	n.Handle(serviceFetch, s.serveFetch)
	n.Handle(serviceWithdraw, peer.Unary(s.serveWithdraw))
}

// peers returns the known instances without this one.
func (s *Syncer) peers() []Peer {
	if s.opts.Network == nil {
		return nil
	}
	self := s.opts.Network.Self().Instance
	var list []Peer
	if s.opts.Peers != nil {
		list = s.opts.Peers()
	} else {
		for _, p := range s.opts.Network.Connected() {
			list = append(list, Peer{Instance: p.Instance, DataCentre: p.DataCentre})
		}
	}
	return slices.DeleteFunc(list, func(p Peer) bool { return p.Instance == self })
}

// neighbours returns the peers of this data centre.
func (s *Syncer) neighbours() []string {
	var names []string
	for _, p := range s.peers() {
		if p.DataCentre == s.opts.Network.Self().DataCentre {
			names = append(names, p.Instance)
		}
	}
	return names
}

// relay returns the relay of this data centre, which may be this instance.
func (s *Syncer) relay() string {
	if s.opts.Network == nil {
		return ""
	}
	self := s.opts.Network.Self()
	candidates := []string{self.Instance}
	for _, p := range s.peers() {
		if p.DataCentre == self.DataCentre && !p.NoRelay {
			candidates = append(candidates, p.Instance)
		}
	}
	return rendezvous.First(self.DataCentre, candidates)
}

func (s *Syncer) isRelay() bool {
	return s.opts.Network == nil || s.relay() == s.opts.Network.Self().Instance
}

// exchangeLoop compares the state with the relay, or as the relay with an instance of another data centre.
func (s *Syncer) exchangeLoop(ctx context.Context) {
	for {
		sleep(ctx, jitter(s.opts.ExchangePeriod))
		if ctx.Err() != nil {
			return
		}
		s.exchangeOnce(ctx)
	}
}

func (s *Syncer) exchangeOnce(ctx context.Context) {
	if s.opts.Network == nil {
		return
	}
	if s.isRelay() {
		s.exchangeAbroad(ctx)
		return
	}
	relay := s.relay()
	err := s.exchange(ctx, relay)
	if err == nil || ctx.Err() != nil {
		return
	}
	s.opts.Log.Debug("relay is silent, polling the store", zap.String("relay", relay), zap.Error(err))
	if err := s.poll(ctx); err != nil {
		s.setReason("relay " + relay + ": silent; store: " + err.Error())
		s.exchangeAbroad(ctx)
	}
}

// exchangeAbroad compares the state with a random peer of any data centre. This brings revisions and withdrawals to a data
// centre that cannot reach the store.
func (s *Syncer) exchangeAbroad(ctx context.Context) {
	self := s.opts.Network.Self()
	var others []string
	for _, p := range s.peers() {
		if p.DataCentre != self.DataCentre {
			others = append(others, p.Instance)
		}
	}
	if len(others) == 0 {
		others = s.neighbours()
	}
	if len(others) == 0 {
		return
	}
	name := others[rand.IntN(len(others))]
	if err := s.exchange(ctx, name); err != nil && !errors.Is(err, errStoreSilent) && ctx.Err() == nil {
		s.opts.Log.Debug("exchange of the configuration state failed", zap.String("peer", name), zap.Error(err))
	}
}

// errStoreSilent reports a peer that has not heard from the store for long.
var errStoreSilent = errors.New("the peer has lost contact with the store")

// exchange compares states with a peer and repairs whichever is behind. It returns errStoreSilent if the peer cannot vouch
// for what the store holds now.
func (s *Syncer) exchange(ctx context.Context, name string) error {
	theirs := new(wire.ConfigState)
	if err := s.call(ctx, name, serviceState, s.stateMessage(), theirs); err != nil {
		return err
	}
	if err := s.reconcile(ctx, name, theirs); err != nil {
		return err
	}
	if !theirs.StoreFresh {
		return errStoreSilent
	}
	return nil
}

// reconcile brings this instance and a peer, whose state is known, to the higher revision and the union of withdrawals.
func (s *Syncer) reconcile(ctx context.Context, name string, theirs *wire.ConfigState) error {
	mine := s.Snapshot()
	switch {
	case theirs.Revision > mine.Revision():
		if err := s.fetch(ctx, name); err != nil {
			return err
		}
	case theirs.Revision < mine.Revision():
		if _, err := s.push(ctx, name, mine.Head(), theirs.Token); err != nil {
			return err
		}
	case theirs.Revision > 0 && theirs.Token != mine.Head().Token:
		s.opts.Log.Error("a peer has another configuration in force under the same revision; apply again to go above both",
			zap.String("peer", name), zap.Int64("revision", theirs.Revision))
	}
	if s.Snapshot().WithdrawnDigest() == theirs.WithdrawnDigest {
		return nil
	}
	return s.exchangeWithdrawals(ctx, name)
}

func (s *Syncer) call(ctx context.Context, name, service string, req, resp protoMessage) error {
	call, cancel := context.WithTimeout(ctx, s.opts.CallTimeout)
	defer cancel()
	return s.opts.Network.Call(call, name, service, req, resp)
}

func (s *Syncer) stateMessage() *wire.ConfigState {
	v := s.Snapshot()
	m := &wire.ConfigState{Revision: v.Revision(), WithdrawnDigest: v.WithdrawnDigest(), StoreFresh: s.storeFresh()}
	if v.Head() != nil {
		m.Token = v.Head().Token
	}
	return m
}

func (s *Syncer) serveState(context.Context, peer.Identity, *wire.ConfigState) (protoMessage, error) {
	return s.stateMessage(), nil
}

// fetch reads a peer's head and the content that it needs, and puts it in force.
func (s *Syncer) fetch(ctx context.Context, name string) error {
	parts, err := s.fetchParts(ctx, name, &wire.ConfigFetch{Head: true})
	if err != nil {
		return err
	}
	if len(parts) == 0 {
		return errors.Newf("peer %s has no configuration", name)
	}
	return s.offered(ctx, name, &wire.ConfigPush{Head: parts[0].Content})
}

// offered puts a head in force that a peer has sent, fetching parts that did not come with it from the peer.
func (s *Syncer) offered(ctx context.Context, name string, offer *wire.ConfigPush) error {
	text, err := decompress(offer.GetHead())
	if err != nil {
		return err
	}
	head, err := configview.DecodeHead(text)
	if err != nil {
		return err
	}
	if base := offer.GetBaseToken(); base != "" {
		mine := s.Snapshot().Head()
		switch {
		case mine != nil && mine.Revision >= head.Revision:
			return nil
		case mine == nil || mine.Token != base:
			return s.fetch(ctx, name)
		}
		lengthen(head, mine)
	}
	missing, err := s.hold.missing(head)
	if errors.Is(err, configview.ErrNotHigher) {
		return nil
	}
	if err != nil {
		return err
	}
	content := make(map[configview.Digest][]byte, len(missing))
	if err := s.addParts(content, offer.GetParts()); err != nil {
		return err
	}
	var digests []string
	for _, d := range missing {
		if _, ok := content[d]; !ok {
			digests = append(digests, string(d))
		}
	}
	if len(digests) > 0 {
		more, err := s.fetchParts(ctx, name, &wire.ConfigFetch{Digests: digests})
		if err := errors.CombineErrors(err, s.addParts(content, more)); err != nil {
			s.hold.keep(content)
			return err
		}
	}
	return s.accept(head, content, name)
}

// addParts adds what parts hold or describe to content. An edit of content that is not held is left out.
func (s *Syncer) addParts(content map[configview.Digest][]byte, parts []*wire.ConfigPart) error {
	for _, p := range parts {
		c, err := decompress(p.Content)
		if base := configview.Digest(p.GetBase()); base != "" {
			held := s.hold.part(base)
			if held == nil {
				continue
			}
			var former []byte
			if former, err = decompress(held); err == nil {
				c, err = applyEdit(former, p)
			}
		}
		if err != nil {
			return err
		}
		if configview.DigestOf(c) != configview.Digest(p.Digest) {
			return errors.New("content of a peer does not have the digest that it is sent under")
		}
		content[configview.Digest(p.Digest)] = c
	}
	return nil
}

// fetchParts reads the answer of a fetch. With an error it returns the parts that came before.
func (s *Syncer) fetchParts(ctx context.Context, name string, req *wire.ConfigFetch) ([]*wire.ConfigPart, error) {
	call, cancel := context.WithTimeout(ctx, s.opts.CallTimeout+time.Duration(len(req.Digests))*partTimeout)
	defer cancel()
	stream, err := s.opts.Network.Open(call, name, serviceFetch)
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	if err := stream.Send(req); err != nil {
		return nil, err
	}
	if err := stream.CloseSend(); err != nil {
		return nil, err
	}
	var parts []*wire.ConfigPart
	for {
		p := new(wire.ConfigPart)
		err := stream.Recv(p)
		if errors.Is(err, io.EOF) {
			return parts, nil
		}
		if err != nil {
			return parts, err
		}
		if len(parts) > len(req.Digests) {
			return parts, errors.Newf("peer %s sends more parts than were asked for", name)
		}
		parts = append(parts, p)
	}
}

func (s *Syncer) serveFetch(_ context.Context, _ peer.Identity, stream peer.Stream) error {
	req := new(wire.ConfigFetch)
	if err := stream.Recv(req); err != nil {
		return err
	}
	if head := s.Snapshot().Head(); req.Head && head != nil {
		text, err := head.Encode()
		if err != nil {
			return err
		}
		if err := stream.Send(&wire.ConfigPart{Content: compress(text)}); err != nil {
			return err
		}
	}
	for _, d := range req.Digests {
		part := s.hold.part(configview.Digest(d))
		if part == nil {
			continue
		}
		if err := stream.Send(&wire.ConfigPart{Digest: d, Content: part}); err != nil {
			return err
		}
	}
	return nil
}

// pushOn sends a revision that has come into force to the other instances of the data centre if this instance is the relay.
func (s *Syncer) pushOn(head *configview.Head) {
	if s.opts.Network == nil || !s.isRelay() {
		return
	}
	names, token := s.neighbours(), s.hold.formerToken()
	s.background(func(ctx context.Context) {
		each(names, func(name string) {
			if _, err := s.push(ctx, name, head, token); err != nil && ctx.Err() == nil {
				s.opts.Log.Debug("push of the configuration failed", zap.String("peer", name), zap.Error(err))
			}
		})
	})
}

// background runs f with a context that ends with the syncer. After Stop it does nothing.
func (s *Syncer) background(f func(ctx context.Context)) {
	s.stopping.Lock()
	defer s.stopping.Unlock()
	if s.life.Err() == nil {
		s.wg.Go(func() { f(s.life) })
	}
}

// each calls f for each name, a few at a time, and waits.
func each(names []string, f func(name string)) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, pushParallelism)
	for _, name := range names {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			f(name)
		})
	}
	wg.Wait()
}

// push offers a head to a peer, with the parts that the last change has added. token is that of the head that the peer is
// expected to have in force.
func (s *Syncer) push(ctx context.Context, name string, head *configview.Head, token string) (*wire.ConfigState, error) {
	req, err := s.hold.pushTo(head, token)
	if err != nil {
		return nil, err
	}
	resp := new(wire.ConfigPushed)
	if err := s.call(ctx, name, servicePush, req, resp); err != nil {
		return nil, err
	}
	return resp.State, nil
}

func (s *Syncer) servePush(ctx context.Context, from peer.Identity, req *wire.ConfigPush) (protoMessage, error) {
	if err := s.offered(ctx, from.Instance, req); err != nil {
		return nil, err
	}
	return &wire.ConfigPushed{State: s.stateMessage()}, nil
}
