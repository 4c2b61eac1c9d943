package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/core/fairqueue"
	"dogwoodknot.example/dogwoodknot/internal/core/routing"
	"dogwoodknot.example/dogwoodknot/internal/dispatch"
	"dogwoodknot.example/dogwoodknot/internal/limits"
	"dogwoodknot.example/dogwoodknot/internal/operations"
)

const fiveWords = "w0 w1 w2 w3 w4 "

// Guards against streams that lose events or their end, and against charges that differ from the use.
func TestChatStream(t *testing.T) {
	e := newEngine(t)
	in := start(t, "lima", testView(engineAt(e, "r1", "lima")), nil)
	a := in.do(t, "POST", "/v1/chat/completions", workshopKey, chat(true, `,"stream_options":{"include_usage":true}`))
	events := a.events()
	if a.status != 200 || a.text(t) != fiveWords || events[len(events)-1] != "[DONE]" || !strings.Contains(events[len(events)-2], `"usage"`) {
		t.Fatalf("answer %d %s", a.status, a.body)
	}
	if a.header.Get(headerExecution) != string(operations.Ran) {
		t.Fatalf("execution %q", a.header.Get(headerExecution))
	}
	a = in.do(t, "POST", "/v1/chat/completions", workshopKey, chat(true, ""))
	if strings.Contains(a.body, `"usage"`) || a.text(t) != fiveWords {
		t.Fatalf("caller that did not ask for usage got %s", a.body)
	}
	if charges, used := in.limiter.balance(t); charges != 2 || used != 2*(7+5) {
		t.Fatalf("%d charges, %d tokens used", charges, used)
	}
	// "user\nwhich metal?\n" has 18 bytes, so 5 tokens; the model's default output limit is 100.
	if got := in.limiter.admitted[0]; got != 105 {
		t.Fatalf("charged %d at admission, want 105", got)
	}
	if !bytes.Contains(e.requests()[0].body, []byte(`"max_tokens":100`)) {
		t.Fatalf("the engine got %s without an output limit", e.requests()[0].body)
	}
}

// Guards against plain answers and completions that differ from what the engine gave.
func TestPlainAnswers(t *testing.T) {
	e := newEngine(t)
	in := start(t, "lima", testView(engineAt(e, "r1", "lima")), nil)
	for _, c := range []struct{ path, body, want string }{
		{"/v1/chat/completions", chat(false, `,"max_tokens":20`), `"content":"w0 w1 w2 w3 w4 "`},
		{"/v1/completions", `{"model":"taller-lm","prompt":["a","b"],"max_tokens":3}`, `"text":"w0 w1 w2 w3 w4 "`},
	} {
		a := in.do(t, "POST", c.path, workshopKey, c.body)
		if a.status != 200 || !strings.Contains(a.body, c.want) {
			t.Fatalf("%s: answer %d %s", c.path, a.status, a.body)
		}
	}
	a := in.do(t, "POST", "/v1/completions", workshopKey, `{"model":"taller-lm","prompt":"x","stream":true}`)
	if a.text(t) != fiveWords || !strings.HasSuffix(a.body, "data: [DONE]\n\n") {
		t.Fatalf("streamed completion: %s", a.body)
	}
	in.limiter.balance(t)
}

// Guards against requests that run without a valid key, and against wrong reasons for refusing them.
func TestKeysAreCheckedOnEveryRequest(t *testing.T) {
	e, s := newEngine(t), newService(t)
	in := start(t, "lima", testView(engineAt(e, "r1", "lima"), serviceAt(s, "s1", "lima")), nil)
	for _, path := range []string{"/v1/chat/completions", "/deposits/7", "/v1/operations"} {
		in.do(t, "POST", path, "", "{}").refused(t, 401, "missing_api_key", operations.NotRun)
		in.do(t, "POST", path, "dk_1k_wrong", "{}").refused(t, 401, "invalid_api_key", operations.NotRun)
		in.do(t, "POST", path, "dk_9new_x", "{}").refused(t, 503, "key_not_yet_known", operations.NotRun)
		in.do(t, "POST", path, "", "{}", "Authorization", "Basic Zm9v").refused(t, 401, "invalid_api_key", operations.NotRun)
	}
	if a := in.do(t, "GET", "/status", "", ""); a.status != 200 {
		t.Fatalf("open route: %d %s", a.status, a.body)
	}
	in.source.change(func(v *fakeView) { v.withdrawn["1k"] = true })
	in.do(t, "POST", "/deposits/7", workshopKey, "{}").refused(t, 401, "key_withdrawn", operations.NotRun)
	if len(e.requests()) != 0 || len(s.executions()) != 1 {
		t.Fatalf("%d model requests and %d service requests ran", len(e.requests()), len(s.executions()))
	}
}

// Guards against a secret that reaches an endpoint in any header, query or body, in plain or encoded form.
func TestSecretNeverReachesAnEndpoint(t *testing.T) {
	e, s := newEngine(t), newService(t)
	in := start(t, "lima", testView(engineAt(e, "r1", "lima"), serviceAt(s, "s1", "lima")), nil)
	escaped := ""
	percent := ""
	for _, b := range []byte(workshopSecret) {
		escaped += `\u00` + hexByte(b)
		percent += "%" + hexByte(b)
	}
	nested, err := json.Marshal(`{"k":"` + escaped + `"}`)
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{`"` + workshopKey + `"`, `"x` + escaped + `"`, string(nested), `"` + percent + `"`} {
		a := in.do(t, "POST", "/v1/chat/completions", workshopKey, chat(false, `,"user":`+text))
		a.refused(t, 400, "secret_in_request", operations.NotRun)
		a = in.do(t, "POST", "/deposits/7", workshopKey, `{"note":`+text+`}`)
		a.refused(t, 400, "secret_in_request", operations.NotRun)
	}
	for _, path := range []string{"/lots/7?api_key=" + workshopKey, "/lots/7?q=" + percent, "/lots/" + percent} {
		in.do(t, "GET", path, workshopKey, "").refused(t, 400, "secret_in_request", operations.NotRun)
	}
	for _, text := range []string{boundKey, "mail dk_x dk_" + boundKey, "%64k_" + boundKey[3:]} {
		in.do(t, "POST", "/deposits/7", workshopKey, `{"note":"`+text+`."}`).refused(t, 400, "secret_in_request", operations.NotRun)
		in.do(t, "GET", "/status?q="+url.QueryEscape(text), "", "").refused(t, 400, "secret_in_request", operations.NotRun)
	}
	a := in.do(t, "GET", "/lots/7?color=red&api_key=dk_old_key_of_this_form", workshopKey, "", "Cookie", "key="+workshopKey,
		"X-Api-Key", workshopKey, "X-Request-Id", workshopKey, "Referer", workshopKey, "Baggage", "k="+workshopKey)
	if a.status != 200 {
		t.Fatalf("answer %d %s", a.status, a.body)
	}
	if a := in.do(t, "POST", "/v1/chat/completions", workshopKey, chat(false, ""), "Cookie", "key="+workshopKey); a.status != 200 {
		t.Fatalf("answer %d %s", a.status, a.body)
	}
	for _, seen := range append(e.requests(), s.executions()...) {
		for name, values := range seen.header {
			if all := strings.Join(values, ","); strings.Contains(all, workshopSecret) || strings.Contains(all, "dk_") {
				t.Fatalf("the endpoint got header %s: %s", name, all)
			}
		}
		if strings.Contains(seen.target, "dk_") || bytes.Contains(seen.body, []byte("dk_")) {
			t.Fatalf("the endpoint got %s %s", seen.target, seen.body)
		}
	}
	if got := s.executions()[0].target; got != "/lots/7?color=red" {
		t.Fatalf("the service got %s", got)
	}
}

func hexByte(b byte) string {
	const digits = "0123456789abcdef"
	return string([]byte{digits[b>>4], digits[b&15]})
}

// Guards against a bound organisation's body that is read, or work that is done, outside its home.
func TestBoundOrganisationIsSentHome(t *testing.T) {
	e, s := newEngine(t), newService(t)
	in := start(t, "cusco", testView(engineAt(e, "r1", "cusco"), serviceAt(s, "s1", "cusco")), nil)
	for _, path := range []string{"/v1/chat/completions", "/deposits/7"} {
		a := in.do(t, "POST", path, boundKey, chat(false, ""))
		a.refused(t, 421, "wrong_region", operations.NotRun)
		if !strings.Contains(a.body, `"lima-1"`) || strings.Contains(a.body, `"cusco-1"`) {
			t.Fatalf("refusal names the wrong entries: %s", a.body)
		}
	}
	if len(e.requests())+len(s.executions()) != 0 {
		t.Fatal("a request ran outside its home")
	}
	home := start(t, "lima", testView(engineAt(e, "r1", "lima")), nil)
	if a := home.do(t, "POST", "/v1/chat/completions", boundKey, chat(false, "")); a.status != 200 {
		t.Fatalf("at home: %d %s", a.status, a.body)
	}
}

// Guards against plain services that get other requests than the callers sent.
func TestServiceRoutes(t *testing.T) {
	s := newService(t)
	in := start(t, "lima", testView(serviceAt(s, "s1", "lima")), nil)
	a := in.do(t, "POST", "/deposits/7?x=1", workshopKey, `{"amount":5}`, "Content-Type", "application/json")
	if a.status != 200 || a.header.Get(headerExecution) != "ran" || !strings.Contains(a.body, `"executions":1`) {
		t.Fatalf("answer %d %s", a.status, a.body)
	}
	seen := s.executions()[0]
	if seen.target != "/deposits/7?x=1" || string(seen.body) != `{"amount":5}` || seen.header.Get("Content-Type") != "application/json" {
		t.Fatalf("the service got %s %s %v", seen.target, seen.body, seen.header)
	}
	if seen.header.Get("X-Request-Id") != a.header.Get(headerRequestID) {
		t.Fatal("the service and the caller have different request ids")
	}
	in.do(t, "POST", "/nowhere", workshopKey, "{}").refused(t, 404, "unknown_route", operations.NotRun)
	in.do(t, "PUT", "/deposits/7", workshopKey, "{}").refused(t, 405, "method_not_allowed", operations.NotRun)
	in.do(t, "POST", "/deposits/..", workshopKey, "{}").refused(t, 400, "invalid_path", operations.NotRun)
	in.do(t, "POST", "/deposits/%2e%2e", workshopKey, "{}").refused(t, 400, "invalid_path", operations.NotRun)
	in.do(t, "POST", "/deposits/a%2fb", workshopKey, "{}").refused(t, 400, "invalid_path", operations.NotRun)
	in.do(t, "POST", "/deposits/7", workshopKey, strings.Repeat("x", 1001)).refused(t, 413, "body_too_large", operations.NotRun)
	if n := len(s.executions()); n != 1 {
		t.Fatalf("%d executions, want 1", n)
	}
	if charges, used := in.limiter.balance(t); charges != 1 || used != 1 {
		t.Fatalf("%d charges, %d tokens", charges, used)
	}
}

// Guards against requests that run although their organisation has no tokens.
func TestRefusedCharge(t *testing.T) {
	e := newEngine(t)
	in := start(t, "lima", testView(engineAt(e, "r1", "lima")), nil)
	in.limiter.refuse = &limits.RefusedError{Organisation: "workshop", RetryAfter: 1500 * time.Millisecond}
	a := in.do(t, "POST", "/v1/chat/completions", workshopKey, chat(true, ""))
	a.refused(t, 429, "rate_limit_exceeded", operations.NotRun)
	if a.header.Get("Retry-After") != "2" || len(e.requests()) != 0 {
		t.Fatalf("Retry-After %q, %d requests ran", a.header.Get("Retry-After"), len(e.requests()))
	}
}

// Guards against requests sent on a charge whose shares were lost while the process was paused.
func TestLapsedChargeIsReplacedBeforeSending(t *testing.T) {
	e := newEngine(t)
	in := start(t, "lima", testView(engineAt(e, "r1", "lima")), nil)
	in.limiter.lapsed = 1
	if a := in.do(t, "POST", "/v1/chat/completions", workshopKey, chat(false, "")); a.status != 200 {
		t.Fatalf("answer %d %s", a.status, a.body)
	}
	if charges, used := in.limiter.balance(t); charges != 2 || used != 12 {
		t.Fatalf("%d charges, %d tokens used", charges, used)
	}
	in.limiter.lapsed = 100
	a := in.do(t, "POST", "/v1/chat/completions", workshopKey, chat(false, ""))
	a.refused(t, 503, "admission_failed", operations.NotRun)
	if len(e.requests()) != 1 {
		t.Fatalf("%d requests ran, want 1", len(e.requests()))
	}
	in.limiter.balance(t)
}

// twoRegions runs an instance in lima without endpoints and one in cusco with them.
func twoRegions(t *testing.T, e *engine, s *plainService) (lima, cusco *instance, bus *fakeBus) {
	t.Helper()
	bus = newBus()
	view := func() *fakeView { return testView(engineAt(e, "r1", "cusco"), serviceAt(s, "s1", "cusco")) }
	lima = start(t, "lima", view(), func(o *Options, _ *dispatch.Options) {
		o.Network = bus.join("lima-1", "lima")
		o.Regions = &fakeRegions{[]routing.RegionLoad{{Region: "cusco", Instance: "cusco-1", OneWay: 80 * time.Millisecond}}}
	})
	cusco = start(t, "cusco", view(), func(o *Options, _ *dispatch.Options) {
		o.Network = bus.join("cusco-1", "cusco")
		o.Regions = &fakeRegions{[]routing.RegionLoad{{Region: "lima", Instance: "lima-1", OneWay: 80 * time.Millisecond}}}
	})
	return lima, cusco, bus
}

// Guards against forwarded requests that lose a part, are charged twice, or take the caller's secret to another region.
func TestForwardToAnotherRegion(t *testing.T) {
	e, s := newEngine(t), newService(t)
	lima, cusco, bus := twoRegions(t, e, s)
	a := lima.do(t, "POST", "/v1/chat/completions", workshopKey, chat(true, ""))
	if a.status != 200 || a.text(t) != fiveWords || !strings.HasSuffix(a.body, "data: [DONE]\n\n") {
		t.Fatalf("stream: %d %s", a.status, a.body)
	}
	if a = lima.do(t, "POST", "/v1/chat/completions", workshopKey, chat(false, "")); a.status != 200 || !strings.Contains(a.body, fiveWords) {
		t.Fatalf("plain: %d %s", a.status, a.body)
	}
	a = lima.do(t, "POST", "/deposits/7", workshopKey, `{"amount":5}`)
	if a.status != 200 || a.header.Get(headerExecution) != "ran" || len(s.executions()) != 1 {
		t.Fatalf("service: %d %s", a.status, a.body)
	}
	if charges, used := lima.limiter.balance(t); charges != 3 || used != 12+12+1 {
		t.Fatalf("%d charges, %d tokens used", charges, used)
	}
	if charges, _ := cusco.limiter.balance(t); charges != 0 {
		t.Fatalf("the other region charged %d requests", charges)
	}
	for _, m := range bus.sent {
		if bytes.Contains(m, []byte(workshopSecret)) {
			t.Fatal("the secret crossed between regions")
		}
	}
}

// Guards against bound data and home-bound services that cross, and against a second crossing.
func TestNothingBoundCrosses(t *testing.T) {
	e, s := newEngine(t), newService(t)
	lima, cusco, bus := twoRegions(t, e, s)
	lima.do(t, "POST", "/v1/chat/completions", boundKey, chat(false, "")).refused(t, 503, "no_endpoint", operations.NotRun)
	lima.do(t, "POST", "/deposits/7", boundKey, "{}").refused(t, 503, "no_endpoint", operations.NotRun)
	lima.do(t, "POST", "/ledger", workshopKey, "{}").refused(t, 503, "no_endpoint", operations.NotRun)
	if bus.opens != 0 {
		t.Fatalf("%d streams to another region were opened", bus.opens)
	}
	// Without endpoints cusco declines. It knows lima as another region, and must not pass the request back.
	cusco.source.change(func(v *fakeView) { v.general.Endpoints = nil })
	lima.do(t, "POST", "/v1/chat/completions", workshopKey, chat(false, "")).refused(t, 503, "declined", operations.NotRun)
	lima.do(t, "POST", "/deposits/7", workshopKey, "{}").refused(t, 503, "no_endpoint", operations.NotRun)
	if bus.opens != 2 {
		t.Fatalf("%d streams were opened, want 2", bus.opens)
	}
	// A receiver whose view binds the organisation refuses it, whatever the sender's view says.
	cusco.source.change(func(v *fakeView) { v.orgs["workshop"].Home = "lima" })
	lima.do(t, "POST", "/deposits/7", workshopKey, "{}").refused(t, 421, "wrong_region", operations.NotRun)
	cusco.source.change(func(v *fakeView) { v.withdrawn["1k"] = true })
	lima.do(t, "POST", "/deposits/7", workshopKey, "{}").refused(t, 401, "key_withdrawn", operations.NotRun)
	if len(e.requests())+len(s.executions()) != 0 {
		t.Fatal("a request ran")
	}
	if _, used := lima.limiter.balance(t); used != 0 {
		t.Fatalf("%d tokens used by requests that did not run", used)
	}
}

// failingHere is a dispatcher whose endpoints fail every request without ever being ejected.
type failingHere struct{ *dispatch.Dispatcher }

func (failingHere) ServesModel(string) bool   { return true }
func (failingHere) ServesService(string) bool { return true }

var errFailingHere = &dispatch.Error{Status: 503, Code: dispatch.CodeEndpointError, Message: "no endpoint could be reached", RetryAfter: time.Second, Execution: operations.NotRun}

func (f failingHere) Complete(context.Context, *dispatch.ModelCall) (*operations.Answer, dispatch.Usage, error) {
	f.RecordRequest()
	return nil, dispatch.Usage{}, errFailingHere
}

func (f failingHere) Call(context.Context, *dispatch.ServiceCall) (*operations.Answer, operations.Execution, error) {
	f.RecordRequest()
	return nil, operations.NotRun, errFailingHere
}

// Guards against a region whose endpoints fail and that sends its whole load to another one a second time: only as many requests
// are tried there as the retry budget allows, 20 and one in ten.
func TestFailoverSpendsTheRetryBudget(t *testing.T) {
	const requests, most = 50, 20 + 5
	for name, path := range map[string]string{"model": "/v1/chat/completions", "service": "/deposits/7"} {
		e, s := newEngine(t), newService(t)
		lima, _, _ := twoRegions(t, e, s)
		lima.Gateway.opts.Dispatcher = failingHere{lima.dispatcher}
		body := "{}"
		if name == "model" {
			body = chat(false, "")
		}
		answered := 0
		for range requests {
			a := lima.do(t, "POST", path, workshopKey, body)
			if a.status == 200 {
				answered++
				continue
			}
			a.refused(t, 503, dispatch.CodeEndpointError, operations.NotRun)
		}
		if answered == 0 || answered > most || len(e.requests())+len(s.executions()) != answered {
			t.Errorf("%s: %d requests were answered by the other region, want 1 to %d; it got %d", name, answered, most, len(e.requests())+len(s.executions()))
		}
	}
}

// busyHere is a dispatcher that expects a long wait, so that half of its requests go to another region.
type busyHere struct{ *dispatch.Dispatcher }

func (busyHere) EstimateWait(string, string, float64, fairqueue.Class, float64) time.Duration {
	return time.Hour
}

// Guards against requests that are refused because another region declined them: they have cost nothing, and with the retry
// budget spent they would be lost although the endpoints here can serve them.
func TestDeclinedRequestsNeedNoRetryBudget(t *testing.T) {
	e, s := newEngine(t), newService(t)
	lima, cusco, bus := twoRegions(t, e, s)
	cusco.source.change(func(v *fakeView) { v.general.Endpoints = nil })
	lima.source.change(func(v *fakeView) { v.general.Endpoints = append(v.general.Endpoints, engineAt(e, "near", "lima")) })
	lima.Gateway.opts.Dispatcher = busyHere{lima.dispatcher}
	for lima.dispatcher.AllowRetry() {
	}
	const requests = 40
	for range requests {
		if a := lima.do(t, "POST", "/v1/chat/completions", workshopKey, chat(false, "")); a.status != 200 {
			t.Fatalf("%d %s", a.status, a.body)
		}
	}
	if bus.opens == 0 || len(e.requests()) != requests {
		t.Errorf("%d requests were declined, %d ran", bus.opens, len(e.requests()))
	}
}

// Guards against an isolated region that refuses requests which were on their way to another one when the link was cut: with the
// retry budget spent by an outage before, nothing would be left to serve them here.
func TestCutLinkNeedsNoRetryBudget(t *testing.T) {
	e, near := newEngine(t), newEngine(t)
	lima, _, bus := twoRegions(t, e, newService(t))
	lima.source.change(func(v *fakeView) { v.general.Endpoints = append(v.general.Endpoints, engineAt(near, "near", "lima")) })
	lima.Gateway.opts.Dispatcher = busyHere{lima.dispatcher}
	for lima.dispatcher.AllowRetry() {
	}
	bus.mu.Lock()
	bus.cut = func(_ []byte, n int) bool { return n == 1 }
	bus.mu.Unlock()
	const requests = 20 // in which fewer than two retries are earned
	for range requests {
		if a := lima.do(t, "POST", "/v1/chat/completions", workshopKey, chat(false, "")); a.status != 200 {
			t.Errorf("%d %s", a.status, a.body)
		}
	}
	if n := len(near.requests()); bus.opens == 0 || n != requests {
		t.Errorf("%d requests went to the other region, %d ran here", bus.opens, n)
	}
}

var _ http.Handler = (*Gateway)(nil)
