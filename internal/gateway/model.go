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

// maxPromptBlocks bounds the blocks of a prompt that are looked up in prefix caches. 512 blocks hold 32,768 tokens.
const maxPromptBlocks = 512

// defaultLongPrompt is the prompt size in tokens from which a request is queued in the class Long, for models that declare none.
const defaultLongPrompt = 2000

// modelHandler returns the handler of model requests of one kind. The order of its steps matters: key and residency are checked before
// the body is read, and all checks that can reject the request come before the charge.
func (g *Gateway) modelHandler(kind modelKind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, err := g.identify(r, false)
		if err != nil {
			rejectUnread(w, r, err)
			return
		}
		body, release, err := g.readBody(w, r, g.opts.MaxModelBody)
		if err != nil {
			rejectUnread(w, r, err)
			return
		}
		defer release()
		if err := c.checkNoSecrets(r, body); err != nil {
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

// identify checks the API key and data residency of a request, and returns its call.
func (g *Gateway) identify(r *http.Request, homeBound bool) (*call, *apiError) {
	v := g.opts.Source.View()
	org, keyID, secret, err := authenticate(v, r.Header)
	if err != nil {
		return nil, err
	}
	d, err := g.checkResidency(org, homeBound)
	if err != nil {
		return nil, err
	}
	return &call{
		g: g, id: requestID(r.Context()), view: v, org: org, keyID: keyID, secret: secret, homeBound: homeBound, mayLeaveRegion: d.MayForward,
	}, nil
}

// checkNoSecrets rejects a request that contains the secret of its own key, or any valid key, since these must not reach an endpoint.
func (c *call) checkNoSecrets(r *http.Request, body []byte) *apiError {
	parts := [][]byte{
		body, []byte(r.URL.EscapedPath()), []byte(r.URL.RawQuery), []byte(r.Header.Get("Content-Type")),
		[]byte(r.Header.Get("Accept")), []byte(r.Header.Get(headerIdempotencyKey)),
	}
	for _, p := range parts {
		if containsSecret(p, c.secret) {
			return notRunError(http.StatusBadRequest, "secret_in_request", "the request contains the secret of its own key")
		}
		if containsKey(p, c.view) {
			return notRunError(http.StatusBadRequest, "secret_in_request", "the request contains a key")
		}
	}
	return nil
}

// serveModel serves a parsed request. It returns an error only if no part of an answer was sent.
func (g *Gateway) serveModel(w http.ResponseWriter, c *call, kind modelKind, req *modelRequest) *apiError {
	m := findModel(c.view.General(), req.Model)
	if m == nil || !mayUse(c.org, req.Model) {
		return notRunError(http.StatusNotFound, "model_not_found", "the model "+strconv.Quote(req.Model)+" does not exist").param("model")
	}
	if err := req.applyLimits(m); err != nil {
		return err
	}
	body, err := req.encode(rand.Int64N(1 << 31))
	if err != nil {
		return err
	}
	mc := &dispatch.ModelCall{
		ID: c.id, Organisation: c.org.Name, Weight: c.org.Weight, Model: req.Model, Path: modelPaths[kind], Body: body,
		PromptTokens: req.PromptTokens, MaxTokens: req.Choices * req.MaxTokens, PrefixBlocks: routing.PrefixBlockHashes(req.Prompt, maxPromptBlocks),
		Class: classOf(m, req.PromptTokens), BeforeSend: c.beforeSend,
		Progress: &dispatch.Progress{SingleChoice: req.Choices == 1},
	}
	if err := c.admit(req.chargedTokens()); err != nil {
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

// plainModel serves a request whose answer is one JSON object.
func (g *Gateway) plainModel(w http.ResponseWriter, c *call, mc *dispatch.ModelCall) *apiError {
	begun := g.opts.Clock.Now()
	a, usage, err := g.runPlain(w, c, mc)
	if err != nil {
		e := asAPIError(err)
		c.settle(usageOfFailed(e.Execution, mc, c.ctx.Err() != nil, g.opts.Clock.Now().Sub(begun)))
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

// estimatedTokenTime is the assumed time per output token of a request without streaming that its caller cancelled.
const estimatedTokenTime = 71 * time.Millisecond

// usageOfFailed returns the tokens to settle for a failed request without streaming: 0 if it has not run. If its caller disconnected, the output is estimated
// from the duration; if an endpoint failed, only the prompt counts.
func usageOfFailed(ex operations.Execution, mc *dispatch.ModelCall, callerLeft bool, took time.Duration) int64 {
	switch {
	case ex == operations.NotRun:
		return 0
	case callerLeft:
		return mc.PromptTokens + min(int64(took/estimatedTokenTime), mc.MaxTokens)
	}
	return mc.PromptTokens
}

// streamModel serves a request whose answer is a stream of server-sent events.
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
		c.settle(mc.PromptTokens + p.SentTokens())
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

// usageOnly reports whether an event is the final one with the usage, which is sent only to callers that asked for it.
func usageOnly(data []byte) bool {
	var parsed struct {
		Choices []json.RawMessage `json:"choices"`
		Usage   json.RawMessage   `json:"usage"`
	}
	return json.Unmarshal(data, &parsed) == nil && len(parsed.Choices) == 0 && len(parsed.Usage) > 0 && string(parsed.Usage) != "null"
}

// writeAnswer sends an answer that is not streamed.
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
	_, _ = w.Write(a.Body) // an error means that the caller has disconnected
}

// chooseRegion returns the remote region that the request should be sent to, or false if it should be served locally.
func (g *Gateway) chooseRegion(c *call, mc *dispatch.ModelCall) (routing.RegionLoad, bool) {
	if !g.canForward(c) {
		return routing.RegionLoad{}, false
	}
	local := g.opts.Dispatcher.ServesModel(mc.Model)
	var wait time.Duration
	if local {
		wait = g.opts.Dispatcher.EstimateWait(mc.Model, mc.Organisation, mc.Weight, mc.Class, float64(mc.PromptTokens+mc.MaxTokens))
	}
	remotes := g.opts.Regions.ForModel(mc.Model)
	if i := routing.ChooseRegion(wait, local, remotes, newRand()); i >= 0 {
		return remotes[i], true
	}
	return routing.RegionLoad{}, false
}

// runStream serves a stream locally or in a remote region, with failover (see runWithFailover). What the caller has received from the
// first attempt is left out of the second.
func (g *Gateway) runStream(w http.ResponseWriter, c *call, mc *dispatch.ModelCall, sink func([]byte) error) error {
	runLocal := func() error { return g.opts.Dispatcher.Stream(c.ctx, mc, sink) }
	runRemote := func(remote routing.RegionLoad) error { return g.forwardStream(c, remote.Instance, mc, sink) }
	return g.runWithFailover(w, c, mc, runLocal, runRemote)
}

func (g *Gateway) runPlain(w http.ResponseWriter, c *call, mc *dispatch.ModelCall) (a *operations.Answer, usage dispatch.Usage, err error) {
	runLocal := func() (err error) {
		a, usage, err = g.opts.Dispatcher.Complete(c.ctx, mc)
		return err
	}
	runRemote := func(remote routing.RegionLoad) (err error) {
		a, usage, err = g.forwardPlain(c, remote.Instance, mc)
		return err
	}
	err = g.runWithFailover(w, c, mc, runLocal, runRemote)
	return a, usage, err
}

// runWithFailover tries a model request in the chosen region. After a failure it tries once more: after a remote region at the local
// endpoints, after the local endpoints in a remote region. The header headerServedRegion names the region tried last.
func (g *Gateway) runWithFailover(w http.ResponseWriter, c *call, mc *dispatch.ModelCall, runLocal func() error, runRemote func(routing.RegionLoad) error) error {
	w.Header().Set(headerServedRegion, g.opts.Region)
	remote, found := g.chooseRegion(c, mc)
	if found {
		g.opts.Dispatcher.RecordRequest()
	} else {
		// The region is chosen again while the request is queued, since its wait may become longer than that in a remote region.
		mc.LeaveQueue = func() bool {
			remote, found = g.chooseRegion(c, mc)
			return found
		}
		mc.RemoteFallback = g.canForward(c) && len(g.opts.Regions.ForModel(mc.Model)) > 0
		err := runLocal()
		mc.LeaveQueue = nil
		if !isLeftQueue(err) {
			if remote, found = g.failoverRegion(c, mc, err); !found {
				return err
			}
			w.Header().Set(headerServedRegion, remote.Region)
			return withExecution(runRemote(remote), err)
		}
	}
	w.Header().Set(headerServedRegion, remote.Region)
	err := runRemote(remote)
	if err == nil || !g.shouldFallBack(c, mc, err) {
		return err
	}
	w.Header().Set(headerServedRegion, g.opts.Region)
	return withExecution(runLocal(), err)
}

func isLeftQueue(err error) bool { return err != nil && asAPIError(err).Code == dispatch.CodeLeftQueue }

// endpointsFailed reports whether a request failed because of the local endpoints. Shedding for load is no such failure: a remote region
// that relieves this one is chosen before the request is sent, or not at all.
func endpointsFailed(err error) bool {
	switch asAPIError(err).Code {
	case dispatch.CodeNoEndpoint, dispatch.CodeEndpointError, dispatch.CodeTruncated:
		return true
	}
	return false
}

// failoverRegion returns the remote region to try after the local endpoints have failed, or false if there is none or the retry budget is
// exhausted. It sets mc.LocalFailed.
func (g *Gateway) failoverRegion(c *call, mc *dispatch.ModelCall, err error) (routing.RegionLoad, bool) {
	if err == nil || !g.canForward(c) || !endpointsFailed(err) {
		return routing.RegionLoad{}, false
	}
	remotes := g.opts.Regions.ForModel(mc.Model)
	i := routing.ChooseRegion(0, false, remotes, newRand())
	if i < 0 {
		return routing.RegionLoad{}, false
	}
	if !g.opts.Dispatcher.AllowRetry() {
		return routing.RegionLoad{}, false
	}
	mc.LocalFailed = true
	return remotes[i], true
}

// shouldFallBack reports whether a request that failed in a remote region should be tried at the local endpoints. A request that may have
// run counts against the retry budget, unless the connection to the region failed: a region that is cut off must serve its own requests
// that were in progress there, and it sends no further ones.
func (g *Gateway) shouldFallBack(c *call, mc *dispatch.ModelCall, err error) bool {
	if c.ctx.Err() != nil || !g.opts.Dispatcher.ServesModel(mc.Model) {
		return false
	}
	e := asAPIError(err)
	if e.Status < http.StatusInternalServerError {
		return false
	}
	// A request that the remote region declined has not run there, so it needs no retry budget.
	return e.Execution == operations.NotRun || e.Code == codeRegionUnreachable || g.opts.Dispatcher.AllowRetry()
}

// withExecution returns err, with the execution of the earlier attempt if err reports that the request has not run: the earlier attempt
// may have run.
func withExecution(err, earlier error) error {
	var e *dispatch.Error
	if !errors.As(err, &e) || e.Execution != operations.NotRun {
		return err
	}
	out := *e
	out.Execution = asAPIError(earlier).Execution
	return &out
}

// listModels answers with the models that the caller's organisation may use.
func (g *Gateway) listModels(w http.ResponseWriter, r *http.Request) {
	v := g.opts.Source.View()
	org, _, _, err := authenticate(v, r.Header)
	if err != nil {
		rejectUnread(w, r, err)
		return
	}
	list := struct {
		Object string      `json:"object"`
		Data   []modelInfo `json:"data"`
	}{Object: "list", Data: []modelInfo{}}
	for _, m := range v.General().Models {
		if mayUse(org, m.Name) {
			list.Data = append(list.Data, newModelInfo(m.Name))
		}
	}
	writeJSON(w, http.StatusOK, list)
}

func (g *Gateway) getModel(w http.ResponseWriter, r *http.Request) {
	v := g.opts.Source.View()
	org, _, _, err := authenticate(v, r.Header)
	if err != nil {
		rejectUnread(w, r, err)
		return
	}
	name := pathVariable(r, "model")
	if findModel(v.General(), name) == nil || !mayUse(org, name) {
		notRunError(http.StatusNotFound, "model_not_found", "the model "+strconv.Quote(name)+" does not exist").param("model").writeTo(w)
		return
	}
	writeJSON(w, http.StatusOK, newModelInfo(name))
}

type modelInfo struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func newModelInfo(name string) modelInfo {
	return modelInfo{ID: name, Object: "model", OwnedBy: "dogwoodknot"}
}
