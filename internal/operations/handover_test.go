package operations

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/core/atmostonce"
	"dogwoodknot.example/dogwoodknot/internal/peer"
)

func stop(t *testing.T, i *instance) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	err := i.Stop(ctx)
	i.f.hub.Remove(i.name)
	return err
}

func issue(t *testing.T, i *instance) string {
	t.Helper()
	id, err := i.Issue(testOrg)
	if err != nil {
		t.Fatal(err)
	}
	return id
}

// Guards against two heirs, or an heir that forgets what it has run, when the acknowledgement of a handover is lost.
func TestHandoverAnswerLost(t *testing.T) {
	f, a := startOwner(t)
	b, c := f.start("lima-2"), f.start("lima-3")
	used, unused := issue(t, a), issue(t, a)
	expect(t, a.do(used, "deposit"), Ran, "")
	var lost atomic.Int64
	f.hub.hook(nil, func(_ context.Context, from, _, service string) error {
		if service != serviceHandover || lost.Add(1) > 1 {
			return nil
		}
		// The heir runs an unused id before the handover is repeated.
		expect(t, b.do(unused, "unused"), Ran, "")
		return peer.ErrBroken
	})
	if err := stop(t, a); err != nil {
		t.Fatal(err)
	}
	if lost.Load() < 2 {
		t.Fatal("the handover was not repeated")
	}
	for _, i := range []*instance{b, c} {
		expect(t, i.do(unused, "unused"), Ran, "")
		expect(t, i.do(used, "deposit"), Ran, CodeAnswerGone)
	}
	if n := f.endpoint.executions("unused"); n != 1 {
		t.Fatalf("%d executions", n)
	}
}

// Guards against a second heir while the first may have taken the records.
func TestHandoverInDoubt(t *testing.T) {
	f, a := startOwner(t)
	b, c := f.start("lima-2"), f.start("lima-3")
	unused := issue(t, a)
	asked := map[string]int{}
	f.hub.hook(nil, func(_ context.Context, _, to, service string) error {
		if service == serviceHandover {
			asked[to]++
			return peer.ErrBroken
		}
		return nil
	})
	if err := stop(t, a); err == nil {
		t.Fatal("a handover without an answer counts as done")
	}
	if len(asked) != 1 || asked["lima-2"] != handoverTries {
		t.Fatalf("heirs asked: %v", asked)
	}
	f.hub.hook(nil, nil)
	expect(t, c.do(unused, "unused"), Ran, "")
	expect(t, b.do(unused, "unused"), Ran, "")
	if n := f.endpoint.executions("unused"); n != 1 {
		t.Fatalf("%d executions", n)
	}
}

// Guards against a lost handover when the first instance that is asked cannot take it.
func TestHandoverToNext(t *testing.T) {
	f, a := startOwner(t)
	f.tune = func(o *Options) { o.MaxRecords = 1 }
	f.start("lima-2")
	f.tune = nil
	c := f.start("lima-3")
	first, second := issue(t, a), issue(t, a)
	expect(t, a.do(first, "deposit"), Ran, "")
	expect(t, a.do(second, "transfer"), Ran, "")
	if err := stop(t, a); err != nil {
		t.Fatal(err)
	}
	expect(t, c.do(first, "deposit"), Ran, CodeAnswerGone)
	expect(t, c.do(second, "transfer"), Ran, CodeAnswerGone)
}

// Guards against an heir of another incarnation: its predecessor may have run ids that the records do not show.
func TestHandoverNamesIncarnation(t *testing.T) {
	f, a := startOwner(t)
	b := f.start("lima-2")
	old := b.o.Network.Self()
	b.crash()
	f.start("lima-2")
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	refused, err := a.sendHandover(ctx, old, a.o.Network.Self().Incarnation, atmostonce.Handover{})
	if err == nil || !refused {
		t.Fatalf("refused %v, error %v", refused, err)
	}
}

// Guards against records lost between the chunks of a large handover.
func TestHandoverChunks(t *testing.T) {
	f, a := startOwner(t)
	c := f.start("lima-2")
	wall := f.wall().UnixMilli()
	h := atmostonce.Handover{Horizon: 7}
	for i := range 2*handoverChunk + 3 {
		var r atmostonce.HandedRecord
		r.Key[0], r.Key[1], r.Key[2] = byte(i), byte(i>>8), byte(i>>16)
		r.KeyTime, r.Ran = wall, i%3 == 0
		h.Records = append(h.Records, r)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if _, err := a.sendHandover(ctx, c.o.Network.Self(), 99, h); err != nil {
		t.Fatal(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := c.issued[99].Records(); n != len(h.Records) {
		t.Fatalf("%d of %d records", n, len(h.Records))
	}
	for i, r := range h.Records {
		got := c.issued[99].Attempt(c.now(), atmostonce.AttemptID(i+1000), r.Ident, wall)
		if reply, ok := got.(atmostonce.Reply); !ok || (reply.Execution == atmostonce.Ran) != r.Ran {
			t.Fatalf("record %d: %+v", i, got)
		}
	}
}

// Guards against a claim that an instance makes about another heir.
func TestHeirNoticeNamesSender(t *testing.T) {
	f, a := startOwner(t)
	b := f.start("lima-2")
	unused := issue(t, a)
	key, err := a.secrets.ParseKey(testOrg, unused)
	if err != nil {
		t.Fatal(err)
	}
	from := b.o.Network.Self()
	for _, claimed := range []peer.Identity{{Instance: "lima-3", Incarnation: from.Incarnation}, {Instance: from.Instance, Incarnation: from.Incarnation + 1}} {
		if _, err := a.handleHeirNotice(context.Background(), from, heirNotice(key.Issued.GetIncarnation(), claimed)); err == nil {
			t.Fatalf("notice for %s was taken", claimed.Instance)
		}
	}
}
