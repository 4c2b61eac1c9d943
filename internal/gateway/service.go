package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/core/routing"
	"dogwoodknot.example/dogwoodknot/internal/dispatch"
	"dogwoodknot.example/dogwoodknot/internal/operations"
)

// headerIdempotencyKey identifies a non-idempotent request, so that a repeat of it is recognised and not run again.
const headerIdempotencyKey = "Idempotency-Key"

// serviceHandler returns the handler of a route that the configuration declares.
func (g *Gateway) serviceHandler(route *config.Route) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, err := g.identifyRoute(r, route)
		if err != nil {
			rejectUnread(w, r, err)
			return
		}
		body, release, err := g.readBody(w, r, cmp.Or(route.BodyLimit, g.opts.MaxServiceBody))
		if err != nil {
			rejectUnread(w, r, err)
			return
		}
		defer release()
		if err := c.checkNoSecrets(r, body); err != nil {
			err.writeTo(w)
			return
		}
		end, err := c.begin(r.Context(), cmp.Or(route.Deadline, g.opts.ServiceDeadline))
		if err != nil {
			err.writeTo(w)
			return
		}
		defer end()
		if err := g.serveRoute(w, r, c, route, body); err != nil {
			err.writeTo(w)
		}
	}
}

// identifyRoute does all checks of a request to a declared route that don't need its body: path, headers, key and residency.
func (g *Gateway) identifyRoute(r *http.Request, route *config.Route) (*call, *apiError) {
	if !unambiguousPath(r.URL) {
		return nil, notRunError(http.StatusBadRequest, "invalid_path", "the path has segments that services may read differently")
	}
	if len(r.Header.Values(headerIdempotencyKey)) > 1 {
		return nil, notRunError(http.StatusBadRequest, "invalid_header", "more than one "+headerIdempotencyKey+" header")
	}
	v := g.opts.Source.View()
	service := findService(v.General(), route.Service)
	homeBound := service != nil && service.HomeBound
	if !route.Open {
		return g.identify(r, homeBound)
	}
	if r.Header.Get(headerIdempotencyKey) != "" {
		return nil, notRunError(http.StatusBadRequest, "idempotency_key_not_taken", "an open route takes no "+headerIdempotencyKey)
	}
	key, err := presentedKey(r.Header)
	if err != nil {
		key = "" // an open route needs no key
	}
	return &call{g: g, id: requestID(r.Context()), view: v, secret: secretOf(key), homeBound: homeBound, mayLeaveRegion: !homeBound}, nil
}

func (g *Gateway) serveRoute(w http.ResponseWriter, r *http.Request, c *call, route *config.Route, body []byte) *apiError {
	sc := &dispatch.ServiceCall{
		ID: c.id, Organisation: c.organisation(), Weight: c.weight(), Service: route.Service, Method: r.Method,
		Path: requestTarget(r.URL), ContentType: r.Header.Get("Content-Type"), Accept: r.Header.Get("Accept"), Body: body,
		Idempotent: route.Idempotent, BeforeSend: c.beforeSend,
	}
	if !sc.Idempotent {
		sc.BeforeSend = c.beforeSingleSend
	}
	key := r.Header.Get(headerIdempotencyKey)
	keyed := key != "" && !route.Idempotent && !route.Open
	if keyed && g.opts.Operations == nil {
		return notRunError(http.StatusServiceUnavailable, "operations_unavailable", "idempotency keys are not served here").after(time.Second)
	}
	tokens := cmp.Or(route.Tokens, 1)
	if err := c.admit(tokens); err != nil {
		return err
	}
	if keyed {
		return g.serveOperation(w, c, route, sc, key, tokens)
	}
	a, ex, err := g.runService(w, c, route, sc)
	if ex == operations.NotRun {
		tokens = 0
	}
	c.settle(tokens)
	if err != nil {
		return asAPIError(err)
	}
	g.writeAnswer(w, a, ex)
	return nil
}

// beforeSingleSend is beforeSend for a non-idempotent request. From then on, only its deadline ends the call.
func (c *call) beforeSingleSend() error {
	if err := c.beforeSend(); err != nil {
		return err
	}
	c.sendMu.Lock()
	defer c.sendMu.Unlock()
	if cause := context.Cause(c.ctx); cause != nil {
		return &c.endError(cause).failure
	}
	c.mustFinish = true
	return nil
}

// serveOperation serves a request with an idempotency key: the request runs at most once, and repeats get the recorded answer.
func (g *Gateway) serveOperation(w http.ResponseWriter, c *call, route *config.Route, sc *dispatch.ServiceCall, key string, tokens int64) *apiError {
	req := operations.Request{
		Organisation: c.org.Name, Key: key, Method: sc.Method, Path: sc.Path,
		BodyDigest: operations.Digest(c.org.Name, sc.Method, sc.Path, sc.ContentType, sc.Body),
	}
	req.StayInRegion = c.homeBound
	req.Forwardable = &operations.ForwardedRequest{
		Route: route.Name, Method: sc.Method, Path: sc.Path, ContentType: sc.ContentType, Body: sc.Body,
	}
	// The result must be recorded even if the caller disconnects, so the run has a deadline but is not cancelled with the
	// caller's request.
	out := g.opts.Operations.Do(c.ctx, req, func(context.Context) (*operations.Answer, operations.Execution, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(c.ctx), cmp.Or(route.Deadline, g.opts.ServiceDeadline))
		defer cancel()
		return g.opts.Dispatcher.Call(ctx, sc)
	})
	if out.Execution == operations.NotRun || out.Repeat {
		tokens = 0
	}
	c.settle(tokens)
	if out.Answer != nil {
		g.writeAnswer(w, out.Answer, out.Execution)
		return nil
	}
	e := notRunError(cmp.Or(out.Status, http.StatusServiceUnavailable), out.Code, out.Message).after(out.RetryAfter)
	e.Execution = out.Execution
	return e
}

// runService sends a request to a service endpoint of this region, or of a remote region if this one has none or its endpoints
// failed. A second attempt in a remote region counts against the retry budget.
func (g *Gateway) runService(w http.ResponseWriter, c *call, route *config.Route, sc *dispatch.ServiceCall) (*operations.Answer, operations.Execution, error) {
	w.Header().Set(headerServedRegion, g.opts.Region)
	earlier, local := operations.NotRun, g.opts.Dispatcher.ServesService(sc.Service) || !g.canForward(c)
	var answer *operations.Answer
	var failure error
	if local {
		answer, earlier, failure = g.opts.Dispatcher.Call(c.ctx, sc)
		if failure == nil || !g.canForward(c) || !mayFailOver(route, earlier, failure) {
			return answer, earlier, failure
		}
	}
	remotes := g.opts.Regions.ForService(sc.Service)
	i := routing.ChooseRegion(0, false, remotes, newRand())
	switch {
	case local && (i < 0 || !g.opts.Dispatcher.AllowRetry()):
		return answer, earlier, failure
	case i < 0:
		return g.opts.Dispatcher.Call(c.ctx, sc)
	case !local:
		g.opts.Dispatcher.RecordRequest()
	}
	w.Header().Set(headerServedRegion, remotes[i].Region)
	a, ex, err := g.forwardService(c, remotes[i].Instance, route.Name, sc)
	if err != nil && ex == operations.NotRun {
		ex = earlier // the local attempt may have run
	}
	return a, ex, err
}

// canForward reports whether a request may be forwarded to a remote region now.
func (g *Gateway) canForward(c *call) bool {
	return c.mayLeaveRegion && c.ctx.Err() == nil && g.opts.Regions != nil && g.opts.Network != nil
}

// mayFailOver reports whether a call that failed at the local endpoints may be sent to a remote region: it must not have run, or
// be idempotent, so that it may run twice.
func mayFailOver(route *config.Route, ex operations.Execution, err error) bool {
	return (ex == operations.NotRun || route.Idempotent) && endpointsFailed(err)
}

// RunForwarded runs a request with an idempotency key that another instance forwarded because this instance owns the key's
// record. The other instance has charged the organisation for it.
func (g *Gateway) RunForwarded(ctx context.Context, organisation string, req *operations.ForwardedRequest) (*operations.Answer, operations.Execution, error) {
	v := g.opts.Source.View()
	c := &call{g: g, id: newID(), view: v, org: v.Organisation(organisation)}
	route := findRoute(v.General(), req.Route)
	if c.org == nil || route == nil || route.Open || route.Method != req.Method {
		return nil, operations.NotRun, &notRunError(http.StatusServiceUnavailable, "not_yet_known",
			"this instance's configuration does not know the request").after(staleViewRetry).failure
	}
	if err := c.permitted(v); err != nil {
		return nil, operations.NotRun, &err.failure
	}
	end, err := c.begin(ctx, cmp.Or(route.Deadline, g.opts.ServiceDeadline))
	if err != nil {
		return nil, operations.NotRun, &err.failure
	}
	defer end()
	return g.opts.Dispatcher.Call(c.ctx, &dispatch.ServiceCall{
		ID: c.id, Organisation: c.org.Name, Weight: c.org.Weight, Service: route.Service, Method: req.Method, Path: req.Path,
		ContentType: req.ContentType, Body: req.Body, Idempotent: route.Idempotent, BeforeSend: c.beforeSingleSend,
	})
}

// listEntries answers with the instances that the caller should send requests to, best first.
func (g *Gateway) listEntries(w http.ResponseWriter, r *http.Request) {
	org, _, _, err := authenticate(g.opts.Source.View(), r.Header)
	if err != nil {
		rejectUnread(w, r, err)
		return
	}
	if g.opts.Entries == nil {
		notRunError(http.StatusServiceUnavailable, "entries_unavailable", "the entries are not known yet").after(time.Second).writeTo(w)
		return
	}
	region := r.URL.Query().Get("region")
	if org.Home != "" {
		region = org.Home
	}
	entries, valid := g.opts.Entries.Entries(org.Name, region)
	if entries == nil {
		entries = []Entry{}
	}
	w.Header().Set("Cache-Control", "max-age="+strconv.Itoa(int(valid.Seconds())))
	writeJSON(w, http.StatusOK, struct {
		Entries  []Entry `json:"entries"`
		ValidFor int64   `json:"valid_for_ms"`
	}{entries, valid.Milliseconds()})
}

// issueOperation answers with a new id that the caller can use as idempotency key.
func (g *Gateway) issueOperation(w http.ResponseWriter, r *http.Request) {
	c, err := g.identify(r, false)
	if err != nil {
		rejectUnread(w, r, err)
		return
	}
	if g.opts.Operations == nil || g.draining.Load() {
		rejectUnread(w, r, notRunError(http.StatusServiceUnavailable, "operations_unavailable",
			"this instance issues no ids; use another entry").after(time.Second))
		return
	}
	id, issueErr := g.opts.Operations.Issue(c.org.Name)
	if issueErr != nil {
		rejectUnread(w, r, notRunError(http.StatusServiceUnavailable, "operations_unavailable", "no id can be issued now").after(time.Second))
		return
	}
	writeJSON(w, http.StatusCreated, struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}{id, "operation"})
}

// writeJSON answers a request that the gateway serves itself, without an endpoint.
func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err) // cannot happen: v has a type of this package
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(headerExecution, string(operations.NotRun))
	w.WriteHeader(status)
	_, _ = w.Write(body) // a caller that is gone needs no answer
}

// pathVariable returns the decoded value of a variable of the route's path.
func pathVariable(r *http.Request, name string) string {
	raw := mux.Vars(r)[name]
	if v, err := url.PathUnescape(raw); err == nil {
		return v
	}
	return raw
}
