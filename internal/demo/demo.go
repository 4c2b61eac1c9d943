// Package demo shows the main job in one process over loopback: a deployment with stand-ins, a configuration, a streaming
// chat, a booking and its repeat, a withdrawn key and an endpoint that dies in the middle of a stream.
package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"dogwoodknot.example/dogwoodknot/internal/configstore"
	"dogwoodknot.example/dogwoodknot/internal/site"
	"dogwoodknot.example/dogwoodknot/internal/standin"
)

// demo is a run of the scenes.
type demo struct {
	out     io.Writer
	site    *site.Site
	key     string
	entry   *site.Instance
	client  *http.Client
	started time.Time
}

// scene is one thing that the demo shows. It returns an error if the system did not do what it should.
type scene struct {
	title string
	play  func(*demo, context.Context) error
}

var scenes = []scene{
	{"a streaming chat", (*demo).chat},
	{"the same chat in another region, which has no endpoint left of its own", (*demo).remoteChat},
	{"a booking and its repeat with the same idempotency key", (*demo).booking},
	{"a home-bound organisation at the wrong region", (*demo).home},
	{"an endpoint killed in the middle of a stream", (*demo).kill},
	{"a key withdrawn while its stream is open", (*demo).withdraw},
	{"a planned stop of an instance while a stream is open", (*demo).plannedStop},
}

// Run plays all scenes and prints what happened. It returns the first scene's failure.
func Run(ctx context.Context, out io.Writer) error {
	d := &demo{out: out, started: time.Now()}
	o := site.Veletas()
	o.Engine.TokenInterval = 10 * time.Millisecond
	d.say("starting %s: 4 entry instances in 3 regions, 12 runners, 3 plain services, 80 ms between regions", o.Name)
	s, err := site.Start(ctx, o)
	if err != nil {
		return err
	}
	defer d.stop(s)
	d.site, d.entry = s, s.Instances[0]
	d.key = s.Keys["taller-quispe"]
	d.client = s.Client(d.entry.Place.Region)
	d.say("base.yaml and its overlay are revision 1, each issued key is a further one: revision %d is in force at all instances",
		d.entry.Daemon.Status().Revision)
	for _, sc := range scenes {
		fmt.Fprintf(out, "\n== %s\n", sc.title)
		if err := sc.play(d, ctx); err != nil {
			return errors.Wrap(err, sc.title)
		}
	}
	d.totals()
	return nil
}

func (d *demo) stop(s *site.Site) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if err := s.Stop(ctx); err != nil {
		d.say("stop: %v", err)
	}
}

func (d *demo) say(format string, args ...any) {
	fmt.Fprintf(d.out, "%7.2fs  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

const prompt = "draft a commission brief for a copper weather vane in the shape of a condor"

func (d *demo) chat(ctx context.Context) error {
	r, err := d.stream(ctx, d.client, d.entry, d.key, prompt, 32, nil)
	if err != nil {
		return err
	}
	d.report(r)
	return r.check(prompt, 32)
}

func (d *demo) remoteChat(ctx context.Context) error {
	cusco := d.site.Instance("cusco-1")
	for _, r := range d.site.Runners {
		if r.Place.Region == "cusco" {
			r.Kill()
		}
	}
	d.say("killed both runners of cusco")
	r, err := d.stream(ctx, d.site.Client("cusco"), cusco, d.key, prompt, 32, nil)
	if err != nil {
		return err
	}
	d.report(r)
	if r.region == "cusco" {
		return errors.New("the answer came from a region without live runners")
	}
	return r.check(prompt, 32)
}

func (d *demo) booking(ctx context.Context) error {
	id, err := uuid.NewV7()
	if err != nil {
		return err
	}
	const deposit = `{"patron":"Rosa","deposit":120}`
	first, err := d.book(ctx, d.client, d.entry, d.key, id.String(), deposit)
	if err != nil {
		return err
	}
	other := d.site.Instance("arequipa-1")
	second, err := d.book(ctx, d.site.Client("arequipa"), other, d.key, id.String(), deposit)
	if err != nil {
		return err
	}
	third, err := d.book(ctx, d.client, d.entry, d.key, id.String(), `{"patron":"Rosa","deposit":999}`)
	if err != nil {
		return err
	}
	executions := d.executions(deposit)
	d.say("first at %s: %s", d.entry.Name, first)
	d.say("repeat at %s: %s", other.Name, second)
	d.say("same key, other body: %s", third)
	d.say("executions counted by the plain services: %d", executions)
	if executions != 1 || first.status != http.StatusOK || third.status != http.StatusUnprocessableEntity || third.execution != "not-run" {
		return errors.New("the booking did not run exactly once")
	}
	return nil
}

func (d *demo) executions(body string) int64 {
	total := int64(0)
	for _, s := range d.site.Services {
		total += s.Service.Executions().ByBodyDigest[standin.BodyDigest([]byte(body))]
	}
	return total
}

func (d *demo) home(ctx context.Context) error {
	key := d.site.Keys["veletas-del-sur"]
	r, err := d.stream(ctx, d.client, d.entry, key, prompt, 8, nil)
	if err != nil {
		return err
	}
	d.say("veletas-del-sur (home arequipa) at lima: status %d, execution %s, %s", r.status, r.execution, r.failure)
	if r.status != http.StatusMisdirectedRequest || r.execution != "not-run" {
		return errors.New("a request of a bound organisation was not refused outside its home")
	}
	home := d.site.Instance("arequipa-1")
	r, err = d.stream(ctx, d.site.Client("arequipa"), home, key, prompt, 8, nil)
	if err != nil {
		return err
	}
	d.say("at arequipa:")
	d.report(r)
	return r.check(prompt, 8)
}

func (d *demo) kill(ctx context.Context) error {
	killed := ""
	r, err := d.stream(ctx, d.client, d.entry, d.key, prompt+", gilded", 64, func(tokens int) {
		if tokens == 10 {
			killed = d.killBusyRunner()
		}
	})
	if err != nil {
		return err
	}
	d.say("killed %s after 10 tokens", killed)
	d.report(r)
	return r.check(prompt+", gilded", 64)
}

// killBusyRunner kills the runner in the entry's region that has a request.
func (d *demo) killBusyRunner() string {
	for _, r := range d.site.Runners {
		if _, running := r.Engine.Inside(); len(running) > 0 {
			r.Kill()
			return r.Name
		}
	}
	return "no runner"
}

func (d *demo) withdraw(ctx context.Context) error {
	issued, _, err := d.site.Config.IssueKey(ctx, "taller-quispe", configstore.Change{Author: "demo"})
	if err != nil {
		return err
	}
	var at time.Time
	r, err := d.streamRetrying(ctx, issued.Key, func(tokens int) {
		if tokens != 5 {
			return
		}
		at = time.Now()
		// The result is seen in how the stream ends.
		_, _ = d.site.Config.Withdraw(ctx, []string{issued.ID}, configstore.Change{Author: "demo"})
	})
	if err != nil {
		return err
	}
	d.say("stream ended %.2f s after the withdrawal, after %d tokens, with: %s", time.Since(at).Seconds(), r.tokens, r.failure)
	if r.whole {
		return errors.New("the stream of a withdrawn key was not ended")
	}
	again, err := d.stream(ctx, d.client, d.entry, issued.Key, prompt, 8, nil)
	if err != nil {
		return err
	}
	d.say("next request with the key: status %d, execution %s, %s", again.status, again.execution, again.failure)
	if again.status != http.StatusUnauthorized {
		return errors.New("a withdrawn key was accepted")
	}
	return nil
}

// streamRetrying repeats a request while the instance has not heard of the key yet.
func (d *demo) streamRetrying(ctx context.Context, key string, onToken func(int)) (*streamResult, error) {
	for range 100 {
		r, err := d.stream(ctx, d.client, d.entry, key, prompt, 2000, onToken)
		if err != nil || r.status != http.StatusServiceUnavailable {
			return r, err
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil, errors.New("a new key was not accepted in time")
}

func (d *demo) plannedStop(ctx context.Context) error {
	entry := d.site.Instance("lima-2")
	stopped := make(chan error, 1)
	r, err := d.stream(ctx, d.client, entry, d.key, prompt, 64, func(tokens int) {
		if tokens == 10 {
			go func() { stopped <- entry.Stop(ctx) }()
		}
	})
	if err != nil {
		return err
	}
	d.report(r)
	if err := <-stopped; err != nil {
		return err
	}
	slots := func() []int { return d.site.Instance("lima-1").Daemon.Status().Slots }
	handOver, cancel := context.WithTimeout(ctx, handOverTime)
	defer cancel()
	if err := d.site.Await(handOver, "lima-1 to own the slots of "+entry.Name, func() bool { return len(slots()) == 2 }); err != nil {
		return err
	}
	d.say("%s has stopped and handed its slots over: lima-1 owns %v", entry.Name, slots())
	return r.check(prompt, 64)
}

// handOverTime is three renewal intervals: a slot that its owner has left is seen with the next refresh of the records.
const handOverTime = 10 * time.Second

func (d *demo) totals() {
	fmt.Fprintf(d.out, "\n== totals\n")
	received, tokens := int64(0), int64(0)
	for _, r := range d.site.Runners {
		counts := r.Engine.Counts()
		received += counts.Received
		tokens += counts.OutputTokens
	}
	calls := d.site.Store.Twin().Counts().Calls
	d.say("engines: %d requests, %d tokens; calls to the store: %v", received, tokens, calls)
}
