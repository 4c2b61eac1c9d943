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

// Guards against streams that lose events or their end, and against settled charges that differ from the usage.
func TestChatStream(t *testing.T) {
	e := newEngine(t)
	in := start(t, "lima", testView(engineAt(e, "r1", "lima")), nil)
	a := in.request(t, "POST", "/v1/chat/completions", workshopKey, chat(true, `,"stream_options":{"include_usage":true}`))
	events := a.events()
	if a.status != 200 || a.text(t) != fiveWords || events[len(events)-1] != "[DONE]" || !strings.Contains(events[len(events)-2], `"usage"`) {
		t.Fatalf("answer %d %s", a.status, a.body)
	}
	if a.header.Get(headerExecution) != string(operations.Ran) {
		t.Fatalf("execution %q", a.header.Get(headerExecution))
	}
	a = in.request(t, "POST", "/v1/chat/completions", workshopKey, chat(true, ""))
	if strings.Contains(a.body, `"usage"`) || a.text(t) != fiveWords {
		t.Fatalf("caller that did not ask for usage got %s", a.body)
	}
	if charges, used := in.limiter.waitSettled(t); charges != 2 || used != 2*(7+5) {
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

// Guards against answers without streaming, and text completions, that differ from the engine's.
func TestPlainAnswers(t *testing.T) {
	e := newEngine(t)
	in := start(t, "lima", testView(engineAt(e, "r1", "lima")), nil)
	for _, c := range []struct{ path, body, want string }{
		{"/v1/chat/completions", chat(false, `,"max_tokens":20`), `"content":"w0 w1 w2 w3 w4 "`},
		{"/v1/completions", `{"model":"taller-lm","prompt":["a","b"],"max_tokens":3}`, `"text":"w0 w1 w2 w3 w4 "`},
	} {
		a := in.request(t, "POST", c.path, workshopKey, c.body)
		if a.status != 200 || !strings.Contains(a.body, c.want) {
			t.Fatalf("%s: answer %d %s", c.path, a.status, a.body)
		}
	}
	a := in.request(t, "POST", "/v1/completions", workshopKey, `{"model":"taller-lm","prompt":"x","stream":true}`)
	if a.text(t) != fiveWords || !strings.HasSuffix(a.body, "data: [DONE]\n\n") {
		t.Fatalf("streamed completion: %s", a.body)
	}
	in.limiter.waitSettled(t)
}

// Guards against requests that run without a valid key, and against wrong error codes when they are rejected.
func TestKeysAreCheckedOnEveryRequest(t *testing.T) {
	e, s := newEngine(t), newService(t)
	in := start(t, "lima", testView(engineAt(e, "r1", "lima"), serviceAt(s, "s1", "lima")), nil)
	for _, path := range []string{"/v1/chat/completions", "/deposits/7", "/v1/operations"} {
		in.request(t, "POST", path, "", "{}").checkError(t, 401, "missing_api_key", operations.NotRun)
		in.request(t, "POST", path, "dk_1k_wrong", "{}").checkError(t, 401, "invalid_api_key", operations.NotRun)
		in.request(t, "POST", path, "dk_9new_x", "{}").checkError(t, 503, "key_not_yet_known", operations.NotRun)
		in.request(t, "POST", path, "", "{}", "Authorization", "Basic Zm9v").checkError(t, 401, "invalid_api_key", operations.NotRun)
	}
	if a := in.request(t, "GET", "/status", "", ""); a.status != 200 {
		t.Fatalf("open route: %d %s", a.status, a.body)
	}
	in.source.change(func(v *fakeView) { v.withdrawn["1k"] = true })
	in.request(t, "POST", "/deposits/7", workshopKey, "{}").checkError(t, 401, "key_withdrawn", operations.NotRun)
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
		a := in.request(t, "POST", "/v1/chat/completions", workshopKey, chat(false, `,"user":`+text))
		a.checkError(t, 400, "secret_in_request", operations.NotRun)
		a = in.request(t, "POST", "/deposits/7", workshopKey, `{"note":`+text+`}`)
		a.checkError(t, 400, "secret_in_request", operations.NotRun)
	}
	for _, path := range []string{"/lots/7?api_key=" + workshopKey, "/lots/7?q=" + percent, "/lots/" + percent} {
		in.request(t, "GET", path, workshopKey, "").checkError(t, 400, "secret_in_request", operations.NotRun)
	}
	for _, text := range []string{boundKey, "mail dk_x dk_" + boundKey, "%64k_" + boundKey[3:]} {
		in.request(t, "POST", "/deposits/7", workshopKey, `{"note":"`+text+`."}`).checkError(t, 400, "secret_in_request", operations.NotRun)
		in.request(t, "GET", "/status?q="+url.QueryEscape(text), "", "").checkError(t, 400, "secret_in_request", operations.NotRun)
	}
	a := in.request(t, "GET", "/lots/7?color=red&api_key=dk_old_key_of_this_form", workshopKey, "", "Cookie", "key="+workshopKey,
		"X-Api-Key", workshopKey, "X-Request-Id", workshopKey, "Referer", workshopKey, "Baggage", "k="+workshopKey)
	if a.status != 200 {
		t.Fatalf("answer %d %s", a.status, a.body)
	}
	if a := in.request(t, "POST", "/v1/chat/completions", workshopKey, chat(false, ""), "Cookie", "key="+workshopKey); a.status != 200 {
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

// Guards against requests of an organisation with a home region that run in another region.
func TestHomeBoundOrganisationIsSentToItsRegion(t *testing.T) {
	e, s := newEngine(t), newService(t)
	in := start(t, "cusco", testView(engineAt(e, "r1", "cusco"), serviceAt(s, "s1", "cusco")), nil)
	for _, path := range []string{"/v1/chat/completions", "/deposits/7"} {
		a := in.request(t, "POST", path, boundKey, chat(false, ""))
		a.checkError(t, 421, "wrong_region", operations.NotRun)
		if !strings.Contains(a.body, `"lima-1"`) || strings.Contains(a.body, `"cusco-1"`) {
			t.Fatalf("the error names the wrong entries: %s", a.body)
		}
	}
	if len(e.requests())+len(s.executions()) != 0 {
		t.Fatal("a request ran outside the home region of its organisation")
	}
	home := start(t, "lima", testView(engineAt(e, "r1", "lima")), nil)
	if a := home.request(t, "POST", "/v1/chat/completions", boundKey, chat(false, "")); a.status != 200 {
		t.Fatalf("at home: %d %s", a.status, a.body)
	}
}

// Guards against services that get requests other than those that callers sent.
func TestServiceRoutes(t *testing.T) {
	s := newService(t)
	in := start(t, "lima", testView(serviceAt(s, "s1", "lima")), nil)
	a := in.request(t, "POST", "/deposits/7?x=1", workshopKey, `{"amount":5}`, "Content-Type", "application/json")
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
	in.request(t, "POST", "/nowhere", workshopKey, "{}").checkError(t, 404, "unknown_route", operations.NotRun)
	in.request(t, "PUT", "/deposits/7", workshopKey, "{}").checkError(t, 405, "method_not_allowed", operations.NotRun)
	in.request(t, "POST", "/deposits/..", workshopKey, "{}").checkError(t, 400, "invalid_path", operations.NotRun)
	in.request(t, "POST", "/deposits/%2e%2e", workshopKey, "{}").checkError(t, 400, "invalid_path", operations.NotRun)
	in.request(t, "POST", "/deposits/a%2fb", workshopKey, "{}").checkError(t, 400, "invalid_path", operations.NotRun)
	in.request(t, "POST", "/deposits/7", workshopKey, strings.Repeat("x", 1001)).checkError(t, 413, "body_too_large", operations.NotRun)
	if n := len(s.executions()); n != 1 {
		t.Fatalf("%d executions, want 1", n)
	}
	if charges, used := in.limiter.waitSettled(t); charges != 1 || used != 1 {
		t.Fatalf("%d charges, %d tokens", charges, used)
	}
}

// Guards against requests that run although their organisation's rate is exhausted.
func TestRefusedCharge(t *testing.T) {
	e := newEngine(t)
	in := start(t, "lima", testView(engineAt(e, "r1", "lima")), nil)
	in.limiter.rejectWith = &limits.RefusedError{Organisation: "workshop", RetryAfter: 1500 * time.Millisecond}
	a := in.request(t, "POST", "/v1/chat/completions", workshopKey, chat(true, ""))
	a.checkError(t, 429, "rate_limit_exceeded", operations.NotRun)
	if a.header.Get("Retry-After") != "2" || len(e.requests()) != 0 {
		t.Fatalf("Retry-After %q, %d requests ran", a.header.Get("Retry-After"), len(e.requests()))
	}
}

// Guards against requests that are sent to an endpoint with a charge that expired while the process was paused.
func TestExpiredChargeIsReplacedBeforeSending(t *testing.T) {
	e := newEngine(t)
	in := start(t, "lima", testView(engineAt(e, "r1", "lima")), nil)
	in.limiter.expired = 1
	if a := in.request(t, "POST", "/v1/chat/completions", workshopKey, chat(false, "")); a.status != 200 {
		t.Fatalf("answer %d %s", a.status, a.body)
	}
	if charges, used := in.limiter.waitSettled(t); charges != 2 || used != 12 {
		t.Fatalf("%d charges, %d tokens used", charges, used)
	}
	in.limiter.expired = 100
	a := in.request(t, "POST", "/v1/chat/completions", workshopKey, chat(false, ""))
	a.checkError(t, 503, "admission_failed", operations.NotRun)
	if len(e.requests()) != 1 {
		t.Fatalf("%d requests ran, want 1", len(e.requests()))
	}
	in.limiter.waitSettled(t)
}

// twoRegions starts an instance in lima, which has no endpoints, and one in cusco, which has an engine and a service.
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

// Guards against forwarded requests that are incomplete, are charged twice, or carry the caller's secret to another region.
func TestForwardToAnotherRegion(t *testing.T) {
	e, s := newEngine(t), newService(t)
	lima, cusco, bus := twoRegions(t, e, s)
	a := lima.request(t, "POST", "/v1/chat/completions", workshopKey, chat(true, ""))
	if a.status != 200 || a.text(t) != fiveWords || !strings.HasSuffix(a.body, "data: [DONE]\n\n") {
		t.Fatalf("stream: %d %s", a.status, a.body)
	}
	if a = lima.request(t, "POST", "/v1/chat/completions", workshopKey, chat(false, "")); a.status != 200 || !strings.Contains(a.body, fiveWords) {
		t.Fatalf("plain: %d %s", a.status, a.body)
	}
	a = lima.request(t, "POST", "/deposits/7", workshopKey, `{"amount":5}`)
	if a.status != 200 || a.header.Get(headerExecution) != "ran" || len(s.executions()) != 1 {
		t.Fatalf("service: %d %s", a.status, a.body)
	}
	if charges, used := lima.limiter.waitSettled(t); charges != 3 || used != 12+12+1 {
		t.Fatalf("%d charges, %d tokens used", charges, used)
	}
	if charges, _ := cusco.limiter.waitSettled(t); charges != 0 {
		t.Fatalf("the other region charged %d requests", charges)
	}
	for _, m := range bus.sent {
		if bytes.Contains(m, []byte(workshopSecret)) {
			t.Fatal("the secret was sent to another region")
		}
	}
}

// Guards against a request that is not sent to another region because a header holds bytes that are not UTF-8.
func TestHeaderBytesPassToAnotherRegion(t *testing.T) {
	const contentType, accept = "application/json; name=caf\xe9", "text/\xff"
	s := newService(t)
	lima, _, _ := twoRegions(t, newEngine(t), s)
	if a := lima.request(t, "POST", "/deposits/7", workshopKey, "{}", "Content-Type", contentType, "Accept", accept); a.status != 200 {
		t.Fatalf("%d %s", a.status, a.body)
	}
	if h := s.executions()[0].header; h.Get("Content-Type") != contentType || h.Get("Accept") != accept {
		t.Errorf("the service got %v", h)
	}
}

// Guards against requests of home-bound organisations and services that leave their region, and against forwarded requests that
// are forwarded again.
func TestHomeBoundRequestsStayInRegion(t *testing.T) {
	e, s := newEngine(t), newService(t)
	lima, cusco, bus := twoRegions(t, e, s)
	lima.request(t, "POST", "/v1/chat/completions", boundKey, chat(false, "")).checkError(t, 503, "no_endpoint", operations.NotRun)
	lima.request(t, "POST", "/deposits/7", boundKey, "{}").checkError(t, 503, "no_endpoint", operations.NotRun)
	lima.request(t, "POST", "/ledger", workshopKey, "{}").checkError(t, 503, "no_endpoint", operations.NotRun)
	if bus.opens != 0 {
		t.Fatalf("%d streams to another region were opened", bus.opens)
	}
	// Without endpoints, cusco declines. It knows lima as a remote region, but must not forward the request back.
	cusco.source.change(func(v *fakeView) { v.general.Endpoints = nil })
	lima.request(t, "POST", "/v1/chat/completions", workshopKey, chat(false, "")).checkError(t, 503, "declined", operations.NotRun)
	lima.request(t, "POST", "/deposits/7", workshopKey, "{}").checkError(t, 503, "no_endpoint", operations.NotRun)
	if bus.opens != 2 {
		t.Fatalf("%d streams were opened, want 2", bus.opens)
	}
	// The receiver rejects the request by its own configuration, whatever the sender's is.
	cusco.source.change(func(v *fakeView) { v.orgs["workshop"].Home = "lima" })
	lima.request(t, "POST", "/deposits/7", workshopKey, "{}").checkError(t, 421, "wrong_region", operations.NotRun)
	cusco.source.change(func(v *fakeView) { v.withdrawn["1k"] = true })
	lima.request(t, "POST", "/deposits/7", workshopKey, "{}").checkError(t, 401, "key_withdrawn", operations.NotRun)
	if len(e.requests())+len(s.executions()) != 0 {
		t.Fatal("a request ran")
	}
	if _, used := lima.limiter.waitSettled(t); used != 0 {
		t.Fatalf("%d tokens used by requests that did not run", used)
	}
}

// failingDispatcher is a dispatcher whose endpoints fail every request, but are never ejected as unhealthy.
type failingDispatcher struct{ *dispatch.Dispatcher }

func (failingDispatcher) ServesModel(string) bool   { return true }
func (failingDispatcher) ServesService(string) bool { return true }

var errEndpointsFailed = &dispatch.Error{Status: 503, Code: dispatch.CodeEndpointError, Message: "no endpoint could be reached", RetryAfter: time.Second, Execution: operations.NotRun}

func (f failingDispatcher) Complete(context.Context, *dispatch.ModelCall) (*operations.Answer, dispatch.Usage, error) {
	f.RecordRequest()
	return nil, dispatch.Usage{}, errEndpointsFailed
}

func (f failingDispatcher) Call(context.Context, *dispatch.ServiceCall) (*operations.Answer, operations.Execution, error) {
	f.RecordRequest()
	return nil, operations.NotRun, errEndpointsFailed
}

// Guards against a region whose endpoints fail and that repeats all its requests in a remote region. Only as many may be tried there as
// the retry budget allows: 20, and one for every ten requests.
func TestFailoverSpendsTheRetryBudget(t *testing.T) {
	const requests, most = 50, 20 + 5
	for name, path := range map[string]string{"model": "/v1/chat/completions", "service": "/deposits/7"} {
		e, s := newEngine(t), newService(t)
		lima, _, _ := twoRegions(t, e, s)
		lima.Gateway.opts.Dispatcher = failingDispatcher{lima.dispatcher}
		body := "{}"
		if name == "model" {
			body = chat(false, "")
		}
		answered := 0
		for range requests {
			a := lima.request(t, "POST", path, workshopKey, body)
			if a.status == 200 {
				answered++
				continue
			}
			a.checkError(t, 503, dispatch.CodeEndpointError, operations.NotRun)
		}
		if answered == 0 || answered > most || len(e.requests())+len(s.executions()) != answered {
			t.Errorf("%s: %d requests were answered by the remote region, want 1 to %d; it got %d", name, answered, most, len(e.requests())+len(s.executions()))
		}
	}
}

// busyDispatcher is a dispatcher that expects a wait of an hour, so that half of its requests are sent to a remote region.
type busyDispatcher struct{ *dispatch.Dispatcher }

func (busyDispatcher) EstimateWait(string, string, float64, fairqueue.Class, float64) time.Duration {
	return time.Hour
}

// Guards against requests that fail because a remote region declined them. They have not run there, so the local endpoints must serve
// them even if the retry budget is exhausted.
func TestDeclinedRequestsNeedNoRetryBudget(t *testing.T) {
	e, s := newEngine(t), newService(t)
	lima, cusco, bus := twoRegions(t, e, s)
	cusco.source.change(func(v *fakeView) { v.general.Endpoints = nil })
	lima.source.change(func(v *fakeView) { v.general.Endpoints = append(v.general.Endpoints, engineAt(e, "near", "lima")) })
	lima.Gateway.opts.Dispatcher = busyDispatcher{lima.dispatcher}
	for lima.dispatcher.AllowRetry() {
	}
	const requests = 40
	for range requests {
		if a := lima.request(t, "POST", "/v1/chat/completions", workshopKey, chat(false, "")); a.status != 200 {
			t.Fatalf("%d %s", a.status, a.body)
		}
	}
	if bus.opens == 0 || len(e.requests()) != requests {
		t.Errorf("%d requests were declined, %d ran", bus.opens, len(e.requests()))
	}
}

// Guards against an isolated region that fails requests which it had forwarded when the connection was cut. The local endpoints must
// serve them even if an outage has exhausted the retry budget.
func TestCutLinkNeedsNoRetryBudget(t *testing.T) {
	e, local := newEngine(t), newEngine(t)
	lima, _, bus := twoRegions(t, e, newService(t))
	lima.source.change(func(v *fakeView) { v.general.Endpoints = append(v.general.Endpoints, engineAt(local, "near", "lima")) })
	lima.Gateway.opts.Dispatcher = busyDispatcher{lima.dispatcher}
	for lima.dispatcher.AllowRetry() {
	}
	bus.mu.Lock()
	bus.cut = func(_ []byte, n int) bool { return n == 1 }
	bus.mu.Unlock()
	const requests = 20 // too few to earn two retries
	for range requests {
		if a := lima.request(t, "POST", "/v1/chat/completions", workshopKey, chat(false, "")); a.status != 200 {
			t.Errorf("%d %s", a.status, a.body)
		}
	}
	if n := len(local.requests()); bus.opens == 0 || n != requests {
		t.Errorf("%d requests were sent to the remote region, %d ran locally", bus.opens, n)
	}
}

var _ http.Handler = (*Gateway)(nil)
