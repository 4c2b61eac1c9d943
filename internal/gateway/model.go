package gateway

import (
	"cmp"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/core/fairqueue"
	"dogwoodknot.example/dogwoodknot/internal/core/routing"
	"dogwoodknot.example/dogwoodknot/internal/dispatch"
	"dogwoodknot.example/dogwoodknot/internal/operations"
)

// maxPromptBlocks bounds the prefix blocks of a prompt that are looked up: 32,768 tokens.
const maxPromptBlocks = 512

// defaultLongPrompt is the prompt size in tokens from which a request is long work.
const defaultLongPrompt = 2000

// modelHandler answers the requests of one kind. The order of its steps matters: key and residency come before the body,
// everything that can refuse comes before the charge.
func (g *Gateway) modelHandler(kind modelKind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, err := g.identify(r, false)
		if err != nil {
			refuseUnread(w, r, err)
			return
		}
		body, release, err := g.readBody(w, r, g.opts.MaxModelBody)
		if err != nil {
			refuseUnread(w, r, err)
			return
		}
		defer release()
		if err := c.checkSecret(r, body); err != nil {
			err.writeTo(w)
			return
		}
		req, err := parseModelRequest(kind, body)
		if err != nil {
			err.writeTo(w)
			return
		}
		end, err := c.begin(r.Context(), g.opts.ModelDeadline)
		if err != nil {
			err.writeTo(w)
			return
		}
		defer end()
		if err := g.serveModel(w, c, kind, req); err != nil {
			err.writeTo(w)
		}
	}
}

// identify checks key and residency of a keyed request.
func (g *Gateway) identify(r *http.Request, homeBound bool) (*call, *apiError) {
	v := g.opts.Source.View()
	org, keyID, secret, err := authenticate(v, r.Header)
	if err != nil {
		return nil, err
	}
	d, err := g.resident(org, homeBound)
	if err != nil {
		return nil, err
	}
	return &call{
		g: g, id: requestID(r.Context()), view: v, org: org, keyID: keyID, secret: secret, homeBound: homeBound, cross: d.Cross,
	}, nil
}

// checkSecret refuses a request that would pass the caller's secret on, or another caller's key.
func (c *call) checkSecret(r *http.Request, body []byte) *apiError {
	parts := [][]byte{
		body, []byte(r.URL.EscapedPath()), []byte(r.URL.RawQuery), []byte(r.Header.Get("Content-Type")),
		[]byte(r.Header.Get("Accept")), []byte(r.Header.Get(headerIdempotencyKey)),
	}
	for _, p := range parts {
		if containsSecret(p, c.secret) {
			return refuse(http.StatusBadRequest, "secret_in_request", "the request contains the secret of its own key")
		}
		if containsKey(p, c.view) {
			return refuse(http.StatusBadRequest, "secret_in_request", "the request contains a key")
		}
	}
	return nil
}

// serveModel answers a parsed request. It returns an error only if no part of an answer was sent.
func (g *Gateway) serveModel(w http.ResponseWriter, c *call, kind modelKind, req *modelRequest) *apiError {
	m := findModel(c.view.General(), req.Model)
	if m == nil || !mayUse(c.org, req.Model) {
		return refuse(http.StatusNotFound, "model_not_found", "the model "+strconv.Quote(req.Model)+" does not exist").param("model")
	}
	if err := req.limit(m); err != nil {
		return err
	}
	body, err := req.encode(rand.Int64N(1 << 31))
	if err != nil {
		return err
	}
	mc := &dispatch.ModelCall{
		ID: c.id, Organisation: c.org.Name, Weight: c.org.Weight, Model: req.Model, Path: modelPaths[kind], Body: body,
		PromptTokens: req.PromptTokens, MaxTokens: req.Choices * req.MaxTokens, Blocks: routing.Blocks(req.Prompt, maxPromptBlocks),
		Class: classOf(m, req.PromptTokens), BeforeSend: c.beforeSend,
		Progress: &dispatch.Progress{SingleChoice: req.Choices == 1},
	}
	if err := c.admit(req.charge()); err != nil {
		return err
	}
	if req.Stream {
		return g.streamModel(w, c, mc, req.IncludeUsage)
	}
	return g.plainModel(w, c, mc)
}

func classOf(m *config.Model, promptTokens int64) fairqueue.Class {
	if promptTokens >= int64(cmp.Or(m.LongPromptTokens, defaultLongPrompt)) {
		return fairqueue.Long
	}
	return fairqueue.Short
}

// plainModel answers with one JSON object.
func (g *Gateway) plainModel(w http.ResponseWriter, c *call, mc *dispatch.ModelCall) *apiError {
	begun := g.opts.Clock.Now()
	a, usage, err := g.runPlain(w, c, mc)
	if err != nil {
		e := asAPIError(err)
		c.settle(usedByFailed(e.Execution, mc, c.ctx.Err() != nil, g.opts.Clock.Now().Sub(begun)))
		return e
	}
	used := mc.PromptTokens + mc.MaxTokens
	if usage.Known {
		used = usage.PromptTokens + usage.OutputTokens
	}
	c.settle(used)
	g.writeAnswer(w, a, operations.Ran)
	return nil
}

// tokenTime is the assumed time for an output token of a plain answer that its caller did not wait for.
const tokenTime = 71 * time.Millisecond

// usedByFailed is the use of a plain request without an answer. Work that the caller gave up on is estimated from its time;
// work that an endpoint failed to finish costs the prompt only.
func usedByFailed(ex operations.Execution, mc *dispatch.ModelCall, callerLeft bool, took time.Duration) int64 {
	switch {
	case ex == operations.NotRun:
		return 0
	case callerLeft:
		return mc.PromptTokens + min(int64(took/tokenTime), mc.MaxTokens)
	}
	return mc.PromptTokens
}

// streamModel answers with server-sent events.
func (g *Gateway) streamModel(w http.ResponseWriter, c *call, mc *dispatch.ModelCall, includeUsage bool) *apiError {
	out := newEventWriter(w, g.opts.WriteTimeout)
	err := g.runStream(w, c, mc, func(data []byte) error {
		if !includeUsage && usageOnly(data) {
			return nil
		}
		return out.event(data)
	})
	p := mc.Progress
	switch {
	case p.UsageKnown:
		c.settle(p.PromptTokens + p.OutputTokens)
	case err == nil || p.Started() || asAPIError(err).Execution != operations.NotRun:
		c.settle(mc.PromptTokens + p.Sent())
	default:
		c.settle(0)
	}
	if err == nil {
		out.done()
		return nil
	}
	if !out.started {
		return asAPIError(err)
	}
	out.fail(asAPIError(err))
	return nil
}

// usageOnly reports whether an event is the final one with the usage, which only callers get that asked for it.
func usageOnly(data []byte) bool {
	var parsed struct {
		Choices []json.RawMessage `json:"choices"`
		Usage   json.RawMessage   `json:"usage"`
	}
	return json.Unmarshal(data, &parsed) == nil && len(parsed.Choices) == 0 && len(parsed.Usage) > 0 && string(parsed.Usage) != "null"
}

// writeAnswer sends a whole answer.
func (g *Gateway) writeAnswer(w http.ResponseWriter, a *operations.Answer, ex operations.Execution) {
	h := w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	h.Set("X-Content-Type-Options", "nosniff")
	h.Set(headerExecution, string(ex))
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(g.opts.WriteTimeout + time.Duration(len(a.Body)/int(g.opts.BodyRate))*time.Second))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body) // a caller that is gone needs no answer
}

// chooseRegion returns the other region that the request should go to, and false if it stays here.
func (g *Gateway) chooseRegion(c *call, mc *dispatch.ModelCall) (routing.RegionLoad, bool) {
	if !g.mayCross(c) {
		return routing.RegionLoad{}, false
	}
	local := g.opts.Dispatcher.Serves(mc.Model)
	var wait time.Duration
	if local {
		wait = g.opts.Dispatcher.Wait(mc.Model, mc.Organisation, mc.Weight, mc.Class, float64(mc.PromptTokens+mc.MaxTokens))
	}
	remotes := g.opts.Regions.ForModel(mc.Model)
	if i := routing.ChooseRegion(wait, local, remotes, newRand()); i >= 0 {
		return remotes[i], true
	}
	return routing.RegionLoad{}, false
}

// runStream serves a stream here or in another region, and where that fails at the other of the two. What the caller has received
// of the first attempt is left out of the second.
func (g *Gateway) runStream(w http.ResponseWriter, c *call, mc *dispatch.ModelCall, sink func([]byte) error) error {
	here := func() error { return g.opts.Dispatcher.Stream(c.ctx, mc, sink) }
	there := func(remote routing.RegionLoad) error { return g.forwardStream(c, remote.Instance, mc, sink) }
	return g.runSomewhere(w, c, mc, here, there)
}

func (g *Gateway) runPlain(w http.ResponseWriter, c *call, mc *dispatch.ModelCall) (a *operations.Answer, usage dispatch.Usage, err error) {
	here := func() (err error) {
		a, usage, err = g.opts.Dispatcher.Plain(c.ctx, mc)
		return err
	}
	there := func(remote routing.RegionLoad) (err error) {
		a, usage, err = g.forwardPlain(c, remote.Instance, mc)
		return err
	}
	err = g.runSomewhere(w, c, mc, here, there)
	return a, usage, err
}

// runSomewhere tries a model request in the chosen region, and after a failure once more: a remote one at the local endpoints, a
// local one in another region. The answer's header names the region tried last.
func (g *Gateway) runSomewhere(w http.ResponseWriter, c *call, mc *dispatch.ModelCall, here func() error, there func(routing.RegionLoad) error) error {
	w.Header().Set(headerServedRegion, g.opts.Region)
	remote, found := g.chooseRegion(c, mc)
	if found {
		g.opts.Dispatcher.EarnRetry()
	} else {
		// While the request waits, the choice is made again: the wait may turn out longer than another region's.
		mc.Reconsider = func() bool {
			remote, found = g.chooseRegion(c, mc)
			return found
		}
		mc.Elsewhere = g.mayCross(c) && len(g.opts.Regions.ForModel(mc.Model)) > 0
		err := here()
		mc.Reconsider = nil
		if !isLeftQueue(err) {
			if remote, found = g.failOver(c, mc, err); !found {
				return err
			}
			w.Header().Set(headerServedRegion, remote.Region)
			return withExecution(there(remote), err)
		}
	}
	w.Header().Set(headerServedRegion, remote.Region)
	err := there(remote)
	if err == nil || !g.fallBack(c, mc, err) {
		return err
	}
	w.Header().Set(headerServedRegion, g.opts.Region)
	return withExecution(here(), err)
}

func isLeftQueue(err error) bool { return err != nil && asAPIError(err).Code == dispatch.CodeLeftQueue }

// endpointsFailed reports whether the local endpoints have failed a request. A refusal for load is not a failure: the other
// region is chosen for relief beforehand, or not at all.
func endpointsFailed(err error) bool {
	switch asAPIError(err).Code {
	case dispatch.CodeNoEndpoint, dispatch.CodeEndpointError, dispatch.CodeTruncated:
		return true
	}
	return false
}

// failOver returns the region to try after the local endpoints have failed, as far as the retry budget allows.
func (g *Gateway) failOver(c *call, mc *dispatch.ModelCall, err error) (routing.RegionLoad, bool) {
	if err == nil || !g.mayCross(c) || !endpointsFailed(err) {
		return routing.RegionLoad{}, false
	}
	remotes := g.opts.Regions.ForModel(mc.Model)
	i := routing.ChooseRegion(0, false, remotes, newRand())
	if i < 0 {
		return routing.RegionLoad{}, false
	}
	if !g.opts.Dispatcher.SpendRetry() {
		return routing.RegionLoad{}, false
	}
	mc.NoLocal = true
	return remotes[i], true
}

// fallBack reports whether a request that failed in another region is to be tried here. One that may have run
// spends a retry, unless the link broke: a region that is cut off must serve what was on its way, and sends no more there.
func (g *Gateway) fallBack(c *call, mc *dispatch.ModelCall, err error) bool {
	if c.ctx.Err() != nil || !g.opts.Dispatcher.Serves(mc.Model) {
		return false
	}
	e := asAPIError(err)
	if e.Status < http.StatusInternalServerError {
		return false
	}
	// A request that the other region declined has cost nothing yet.
	return e.Execution == operations.NotRun || e.Code == codeRegionUnreachable || g.opts.Dispatcher.SpendRetry()
}

// withExecution keeps a request that may have run elsewhere from being reported as not run.
func withExecution(err, earlier error) error {
	var e *dispatch.Error
	if !errors.As(err, &e) || e.Execution != operations.NotRun {
		return err
	}
	out := *e
	out.Execution = asAPIError(earlier).Execution
	return &out
}

// listModels answers with the models that the organisation may use.
func (g *Gateway) listModels(w http.ResponseWriter, r *http.Request) {
	v := g.opts.Source.View()
	org, _, _, err := authenticate(v, r.Header)
	if err != nil {
		refuseUnread(w, r, err)
		return
	}
	list := struct {
		Object string      `json:"object"`
		Data   []modelInfo `json:"data"`
	}{Object: "list", Data: []modelInfo{}}
	for _, m := range v.General().Models {
		if mayUse(org, m.Name) {
			list.Data = append(list.Data, describe(m.Name))
		}
	}
	writeJSON(w, http.StatusOK, list)
}

func (g *Gateway) getModel(w http.ResponseWriter, r *http.Request) {
	v := g.opts.Source.View()
	org, _, _, err := authenticate(v, r.Header)
	if err != nil {
		refuseUnread(w, r, err)
		return
	}
	name := pathVariable(r, "model")
	if findModel(v.General(), name) == nil || !mayUse(org, name) {
		refuse(http.StatusNotFound, "model_not_found", "the model "+strconv.Quote(name)+" does not exist").param("model").writeTo(w)
		return
	}
	writeJSON(w, http.StatusOK, describe(name))
}

type modelInfo struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func describe(name string) modelInfo {
	return modelInfo{ID: name, Object: "model", OwnedBy: "dogwoodknot"}
}
