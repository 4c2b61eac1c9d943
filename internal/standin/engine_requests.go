package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// completionRequest holds the fields that the engine reads of both kinds of requests.
type completionRequest struct {
	Model               string          `json:"model"`
	Messages            []chatMessage   `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	Stream              bool            `json:"stream"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Priority            int             `json:"priority"`
	IgnoreEOS           bool            `json:"ignore_eos"` // write until the limit is reached
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// ChatPrompt returns the prompt text of a chat: alternating roles and contents.
func ChatPrompt(rolesAndContents ...string) string {
	var b strings.Builder
	for _, s := range rolesAndContents {
		b.WriteString(s)
		b.WriteByte('\n')
	}
	return b.String()
}

func chatPrompt(messages []chatMessage) (string, error) {
	if len(messages) == 0 {
		return "", errors.New("messages are empty")
	}
	var parts []string
	for i, m := range messages {
		content, err := chatContent(m.Content)
		if err != nil {
			return "", errors.Wrapf(err, "message %d", i)
		}
		parts = append(parts, m.Role, content)
	}
	return ChatPrompt(parts...), nil
}

// chatContent reads a content that is a string or a list of text parts.
func chatContent(raw json.RawMessage) (string, error) {
	var text string
	if err := json.Unmarshal(raw, &text); err == nil {
		return text, nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", errors.New("content is neither a string nor a list of parts")
	}
	for _, p := range parts {
		text += p.Text
	}
	return text, nil
}

// plainPrompt reads a prompt that is a string or a list of one string.
func plainPrompt(raw json.RawMessage) (string, error) {
	var text string
	if err := json.Unmarshal(raw, &text); err == nil {
		return text, nil
	}
	var list []string
	if err := json.Unmarshal(raw, &list); err != nil || len(list) != 1 {
		return "", errors.New("prompt is neither a string nor a list of one string")
	}
	return list[0], nil
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request)       { e.accept(w, r, true) }
func (e *Engine) completion(w http.ResponseWriter, r *http.Request) { e.accept(w, r, false) }

// refusal is an answer to a request that the engine does not take.
type refusal struct {
	status  int
	code    string
	message string
}

// accept reads a request, queues it and answers it.
func (e *Engine) accept(w http.ResponseWriter, r *http.Request, chat bool) {
	e.mu.Lock()
	e.counts.Received++
	e.mu.Unlock()
	var in completionRequest
	if !readJSON(w, r, &in) {
		e.countRefused()
		return
	}
	g, err := e.newGeneration(in, chat)
	if err != nil {
		e.countRefused()
		writeError(w, http.StatusBadRequest, "invalid_request", err.Error())
		return
	}
	g.id = r.Header.Get(HeaderRequestID)
	if g.id == "" {
		g.id = uuid.NewString()
	}
	if refused := e.submit(g); refused != nil {
		e.countRefused()
		if refused == diedMeanwhile {
			breakConnection()
		}
		writeError(w, refused.status, refused.code, refused.message)
		return
	}
	defer e.detach(g)
	w.Header().Set(HeaderRequestID, g.id)
	if in.Stream {
		e.stream(w, r, g, 0)
	} else {
		e.whole(w, r, g)
	}
}

func (e *Engine) countRefused() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Refused++
}

func (e *Engine) newGeneration(in completionRequest, chat bool) (*generation, error) {
	var prompt string
	var err error
	if chat {
		prompt, err = chatPrompt(in.Messages)
	} else {
		prompt, err = plainPrompt(in.Prompt)
	}
	if err != nil {
		return nil, err
	}
	g := &generation{
		model:        in.Model,
		chat:         chat,
		seed:         xxhash.Sum64String(prompt),
		promptTokens: PromptTokens(prompt),
		limit:        e.opts.OutputTokens,
		limitReason:  finishStop,
		priority:     in.Priority,
		created:      time.Now(),
		blocks:       BlockHashes(prompt),
		changed:      make(chan struct{}),
		readers:      1,
	}
	limit := in.MaxCompletionTokens
	if limit == nil {
		limit = in.MaxTokens
	}
	if limit != nil && *limit < 1 {
		return nil, errors.Newf("output limit %d is below 1", *limit)
	}
	if limit != nil && (*limit < g.limit || in.IgnoreEOS) {
		g.limit = *limit
		g.limitReason = finishLength
	}
	if n := g.promptTokens + g.limit; e.opts.ContextTokens > 0 && n > e.opts.ContextTokens {
		return nil, errors.Newf("prompt and output of %d tokens exceed the context of %d", n, e.opts.ContextTokens)
	}
	return g, nil
}

// diedMeanwhile is the refusal of a call that the engine had let in just before its death.
var diedMeanwhile = &refusal{code: "dead"}

// submit queues a request, or says why it is refused.
func (e *Engine) submit(g *generation) *refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return diedMeanwhile
	}
	if e.faults.Leaving {
		return &refusal{http.StatusServiceUnavailable, "leaving", "the engine is leaving and takes no new requests"}
	}
	known, ready := e.orders.serves(g.model)
	if !known {
		return &refusal{http.StatusNotFound, "model_not_found", "model " + g.model + " is not loaded"}
	}
	if !ready {
		return &refusal{http.StatusServiceUnavailable, "model_loading", "model " + g.model + " is not ready"}
	}
	if e.opts.MaxWaiting > 0 && len(e.waiting) >= e.opts.MaxWaiting {
		return &refusal{http.StatusServiceUnavailable, "queue_full", "the engine's queue is full"}
	}
	e.sequence++
	g.sequence = e.sequence
	e.enqueue(g)
	return nil
}

// detach ends one reader's interest in a request.
func (e *Engine) detach(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g.readers--
	g.detachedAt = time.Now()
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	id, ok := pathVar(w, r, "id")
	if !ok {
		return
	}
	from, ok := queryInt(w, r.URL.Query(), "from", 0)
	if !ok {
		return
	}
	g := e.attach(id)
	if g == nil {
		writeError(w, http.StatusNotFound, "request_not_found", "request is not known")
		return
	}
	defer e.detach(g)
	if from < 0 || from > int64(g.limit) {
		writeError(w, http.StatusBadRequest, "invalid_position", "from is not a position of the output")
		return
	}
	w.Header().Set(HeaderRequestID, id)
	e.stream(w, r, g, int(from))
}

// attach adds a reader to a request that can be resumed.
func (e *Engine) attach(id string) *generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.requests[id]
	if g == nil || g.finish == finishCancelled {
		return nil
	}
	g.readers++
	e.counts.Resumed++
	return g
}

func (e *Engine) cancelRequest(w http.ResponseWriter, r *http.Request) {
	id, ok := pathVar(w, r, "id")
	if !ok {
		return
	}
	e.mu.Lock()
	if g := e.requests[id]; g != nil && e.stop(g, time.Now()) {
		e.counts.Cancelled++
	}
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// progress is what a reader sees of a request.
type progress struct {
	produced int
	finish   string
	changed  <-chan struct{}
}

func (e *Engine) progress(g *generation) progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	return progress{produced: g.produced, finish: g.finish, changed: g.changed}
}

// Inside reports the ids of the requests in queue and batch.
func (e *Engine) Inside() (waiting, running []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return ids(e.waiting), ids(e.running)
}

func ids(list []*generation) []string {
	out := make([]string, 0, len(list))
	for _, g := range list {
		out = append(out, g.id)
	}
	return slices.Clip(out)
}
