package operations

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"dogwoodknot.example/dogwoodknot/internal/peer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// expect checks the parts of an outcome that callers rely on.
func expect(t *testing.T, o Outcome, x Execution, code string) {
	t.Helper()
	if o.Execution != x || o.Code != code {
		t.Fatalf("outcome is %q %q (%s), expected %q %q", o.Execution, o.Code, o.Message, x, code)
	}
	if x == Ran && code == "" && o.Answer == nil {
		t.Fatal("no answer")
	}
}

func startOwner(t *testing.T) (*fleet, *instance) {
	t.Helper()
	f := newFleet(t)
	f.slots.set(testRegion, 0, "lima-1")
	return f, f.start("lima-1")
}

// Guards against a second execution and a wrong answer to a repeat at the owner.
func TestRepeatAtOwner(t *testing.T) {
	f, a := startOwner(t)
	key := newKey(t)
	expect(t, a.doReady(key, "deposit"), Ran, "")
	o := a.do(key, "deposit")
	expect(t, o, Ran, "")
	if !o.Repeat || string(o.Answer.Body) != "deposit 1" {
		t.Fatalf("repeat got %q, repeat %v", o.Answer.Body, o.Repeat)
	}
	expect(t, a.do(strings.ToUpper(key), "deposit"), Ran, "")
	expect(t, a.do(key, "other"), NotRun, CodeReused)
	if n := f.endpoint.executions("deposit") + f.endpoint.executions("other"); n != 1 {
		t.Fatalf("%d executions", n)
	}
}

// Guards against running a request at an instance that does not own its key, and against one that does not reach the owner, or whose answer
// does not come back, because a header holds bytes that are not UTF-8.
func TestForwardToOwner(t *testing.T) {
	f, a := startOwner(t)
	b := f.start("lima-2")
	key := newKey(t)
	o := b.doReady(key, "deposit")
	expect(t, o, Ran, "")
	if o.Answer.Header.Get("Content-Type") != testContentType {
		t.Fatalf("answer through another instance: %+v", o)
	}
	o = a.do(key, "deposit")
	expect(t, o, Ran, "")
	if !o.Repeat || o.Answer.Header.Get("Content-Type") != testContentType {
		t.Fatalf("repeat at the owner: %+v", o)
	}
	expect(t, b.do(key, "other"), NotRun, CodeReused)
	if n := f.endpoint.executions("deposit"); n != 1 {
		t.Fatalf("%d executions", n)
	}
}

// Guards against two executions of concurrent requests with one key at several instances.
func TestConcurrentRepeats(t *testing.T) {
	f, a := startOwner(t)
	instances := []*instance{a, f.start("lima-2"), f.start("lima-3")}
	a.doReady(newKey(t), "warm-up")
	key := newKey(t)
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Go(func() { instances[i%3].do(key, "deposit") })
	}
	wg.Wait()
	if n := f.endpoint.executions("deposit"); n != 1 {
		t.Fatalf("%d executions", n)
	}
	expect(t, instances[2].do(key, "deposit"), Ran, "")
}

// Guards against a new owner that runs what its predecessor may have run.
func TestNewOwnerKnowsRecords(t *testing.T) {
	f, a := startOwner(t)
	key, open := newKey(t), newKey(t)
	expect(t, a.doReady(key, "deposit"), Ran, "")
	eventually(t, "result recorded", func() bool { return f.store.entries() == 3 })
	block := make(chan struct{})
	t.Cleanup(func() { close(block) })
	f.endpoint.after = func(string) { <-block }
	go a.do(open, "open")
	eventually(t, "open operation sent", func() bool { return f.endpoint.executions("open") == 1 })
	b := f.start("lima-2")
	a.crash()
	f.slots.set(testRegion, 0, "lima-2")
	expect(t, b.doReady(key, "deposit"), Ran, CodeAnswerGone)
	expect(t, b.do(key, "other"), NotRun, CodeReused)
	expect(t, b.do(open, "open"), Unknown, CodeUnknown)
}

// Guards against running an issued id twice or after its issuer has ended.
func TestIssuedID(t *testing.T) {
	f, a := startOwner(t)
	b := f.start("lima-2")
	id, err := a.Issue(testOrg)
	if err != nil {
		t.Fatal(err)
	}
	f.store.hook(func(string, string, string) error { return fmt.Errorf("store is out") }, nil)
	expect(t, b.do(id, "deposit"), Ran, "")
	expect(t, a.do(id, "deposit"), Ran, "")
	expect(t, b.do(id, "other"), NotRun, CodeReused)
	expect(t, a.do(id[:len(id)-2]+"xx", "deposit"), NotRun, CodeForeignKey)
	unused, err := a.Issue(testOrg)
	if err != nil {
		t.Fatal(err)
	}
	a.crash()
	// An instance that has just started may not be listed yet, so that a repeat can help. Later it cannot.
	young := b.do(unused, "unused")
	expect(t, young, Unknown, CodeIssuerUnknown)
	f.advanceWall(issuerListed)
	old := b.do(unused, "unused")
	expect(t, old, Unknown, CodeIssuerGone)
	if young.RetryAfter == 0 || old.RetryAfter != 0 {
		t.Errorf("advice is %s at first and %s later", young.RetryAfter, old.RetryAfter)
	}
	f.start("lima-1")
	expect(t, b.do(id, "deposit"), Unknown, CodeIssuerGone)
	expect(t, b.do(unused, "unused"), Unknown, CodeIssuerGone)
	if n := f.endpoint.executions("deposit") + f.endpoint.executions("unused"); n != 1 {
		t.Fatalf("%d executions", n)
	}
}

// Guards against ids that become unusable, or run twice, when their issuer stops as planned.
func TestHandover(t *testing.T) {
	f, a := startOwner(t)
	b, c := f.start("lima-2"), f.start("lima-3")
	used, _ := a.Issue(testOrg)
	unused, _ := a.Issue(testOrg)
	expect(t, a.do(used, "deposit"), Ran, "")
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if err := a.Stop(ctx); err != nil {
		t.Fatal(err)
	}
	f.hub.Remove(a.name)
	for _, i := range []*instance{b, c} {
		expect(t, i.do(used, "deposit"), Ran, CodeAnswerGone)
		expect(t, i.do(used, "other"), NotRun, CodeReused)
	}
	expect(t, c.do(unused, "unused"), Ran, "")
	if err := b.Stop(ctx); err != nil {
		t.Fatal(err)
	}
	f.hub.Remove(b.name)
	expect(t, c.do(unused, "unused"), Ran, CodeAnswerGone)
	expect(t, c.do(used, "deposit"), Ran, CodeAnswerGone)
	if n := f.endpoint.executions("deposit") + f.endpoint.executions("unused"); n != 2 {
		t.Fatalf("%d executions", n)
	}
}

// Guards against keys without a usable time.
func TestKeyForms(t *testing.T) {
	f, a := startOwner(t)
	a.doReady(newKey(t), "warm-up")
	for key, want := range map[string]string{
		"order-17":                               CodeMalformedKey,
		"b3b1c0de-7a53-4c34-8a39-111111111111":   CodeMalformedKey,
		"{" + newKey(t) + "}":                    CodeMalformedKey,
		"op_AAAA":                                CodeMalformedKey,
		keyAt(t, time.Now().Add(6*time.Minute)):  CodeFuture,
		keyAt(t, time.Now().Add(-23*time.Hour)):  "",
		keyAt(t, time.Now().Add(4*time.Minute)):  "",
		keyAt(t, time.Now().Add(-25*time.Hour)):  CodeExpired,
		keyAt(t, time.Now().Add(-999*time.Hour)): CodeExpired,
	} {
		x := NotRun
		switch want {
		case "":
			x = Ran
		case CodeExpired:
			x = Unknown
		}
		expect(t, a.do(key, "body of "+key), x, want)
	}
	if n := f.endpoint.executions("warm-up"); n != 1 {
		t.Fatalf("%d executions", n)
	}
}

// Guards against an entry instance that vouches for what happened behind a broken link.
func TestBrokenLink(t *testing.T) {
	f, a := startOwner(t)
	b := f.start("lima-2")
	a.doReady(newKey(t), "warm-up")
	key := newKey(t)
	f.hub.hook(func(context.Context, string, string, string) error { return peer.ErrNotSent }, nil)
	expect(t, b.do(key, "deposit"), NotRun, CodeOwnerAway)
	f.hub.hook(nil, func(context.Context, string, string, string) error { return peer.ErrBroken })
	expect(t, b.do(key, "deposit"), Unknown, CodeUnknown)
	f.hub.hook(nil, nil)
	expect(t, b.do(key, "deposit"), Ran, "")
	if n := f.endpoint.executions("deposit"); n != 1 {
		t.Fatalf("%d executions", n)
	}
}

// Guards against records that are kept for ever, and against keys that run again once their records are gone, even at a
// new owner whose clock is a day late.
func TestRetention(t *testing.T) {
	f, a := startOwner(t)
	old := newKey(t)
	expect(t, a.doReady(old, "deposit"), Ran, "")
	for range 5 {
		expect(t, a.do(newKey(t), "filler"), Ran, "")
	}
	f.advanceWall(27 * time.Hour)
	expect(t, a.do(keyAt(t, f.wall()), "later"), Ran, "")
	eventually(t, "old entries deleted", func() bool { return f.store.entries() <= 4 })
	expect(t, a.do(old, "deposit"), Unknown, CodeExpired)
	f.advanceWall(-27 * time.Hour)
	b := f.start("lima-2")
	a.crash()
	f.slots.set(testRegion, 0, "lima-2")
	expect(t, b.doReady(old, "deposit"), Unknown, CodeExpired)
	if n := f.endpoint.executions("deposit"); n != 1 {
		t.Fatalf("%d executions", n)
	}
}

// Guards against bodies and answers that do not fit into one message between instances.
func TestForwardLargeBodies(t *testing.T) {
	f, a := startOwner(t)
	b := f.start("lima-2")
	a.doReady(newKey(t), "warm-up")
	body := strings.Repeat("deposit ", 3*partBytes/8) + "end"
	key := newKey(t)
	o := b.do(key, body)
	expect(t, o, Ran, "")
	if want := body + " 1"; string(o.Answer.Body) != want {
		t.Fatalf("answer of %d instead of %d bytes", len(o.Answer.Body), len(want))
	}
	expect(t, b.do(key, body), Ran, CodeAnswerGone)
	expect(t, b.do(newKey(t), strings.Repeat("x", maxForwardedBody+1)), NotRun, CodeTooLarge)
	if n := f.endpoint.executions(body); n != 1 {
		t.Fatalf("%d executions", n)
	}
}

// Guards against a part of an answer that counts as the whole.
func TestAnswerCut(t *testing.T) {
	f, a := startOwner(t)
	b := f.start("lima-2")
	a.doReady(newKey(t), "warm-up")
	received := 0
	f.hub.hook(nil, func(context.Context, string, string, string) error {
		if received++; received == 2 {
			return peer.ErrBroken
		}
		return nil
	})
	o := b.do(newKey(t), strings.Repeat("deposit ", 3*partBytes/8))
	expect(t, o, Ran, CodeAnswerCut)
	if o.Answer != nil || o.RetryAfter == 0 {
		t.Fatalf("outcome %+v", o)
	}
}

// Guards against a planned stop that fails because the last instance of a region has nobody to hand its records to, and one
// that loses them without a word.
func TestLastInstanceOfARegionStops(t *testing.T) {
	f := newFleet(t)
	f.slots.set(testRegion, 0, "lima-1")
	core, logs := observer.New(zap.WarnLevel)
	f.tune = func(o *Options) { o.Logger = zap.New(core) }
	a := f.start("lima-1")
	expect(t, a.do(issue(t, a), "deposit"), Ran, "")
	if err := a.Stop(t.Context()); err != nil {
		t.Errorf("stop: %v", err)
	}
	entries := logs.FilterMessageSnippet("last instance of its region").All()
	if len(entries) != 1 || entries[0].ContextMap()["records"] != int64(1) {
		t.Errorf("warnings: %v", entries)
	}
}
