package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
)

type usage struct {
	PromptTokens        int            `json:"prompt_tokens"`
	CompletionTokens    int            `json:"completion_tokens"`
	TotalTokens         int            `json:"total_tokens"`
	PromptTokensDetails map[string]int `json:"prompt_tokens_details"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type completionObject struct {
	ID        string   `json:"id"`
	Object    string   `json:"object"`
	Created   int64    `json:"created"`
	Model     string   `json:"model"`
	Choices   []choice `json:"choices"`
	Usage     *usage   `json:"usage,omitempty"`
	IndexFrom *int     `json:"index_from,omitempty"`
}

func (g *generation) object(kind string) completionObject {
	return completionObject{ID: g.id, Object: kind, Created: g.created.Unix(), Model: g.model, Choices: []choice{}}
}

func (g *generation) usage() *usage {
	return &usage{
		PromptTokens:        g.promptTokens,
		CompletionTokens:    g.limit,
		TotalTokens:         g.promptTokens + g.limit,
		PromptTokensDetails: map[string]int{"cached_tokens": g.cached},
	}
}

// chunk is a part of a stream: the output tokens from (inclusive) to (exclusive), with the finish reason if it is the last.
func (g *generation) chunk(from, to int, finish string) completionObject {
	text := outputText(g.seed, from, to)
	c := choice{}
	if finish != "" {
		c.FinishReason = &finish
	}
	kind := "text_completion"
	if g.chat {
		kind = "chat.completion.chunk"
		c.Delta = &message{Content: text}
		if from == 0 && finish == "" {
			c.Delta.Role = "assistant"
		}
	} else {
		c.Text = &text
	}
	out := g.object(kind)
	out.Choices = append(out.Choices, c)
	out.IndexFrom = &from
	return out
}

// eventWriter writes server-sent events.
type eventWriter struct {
	w    io.Writer
	ctrl *http.ResponseController
}

func startSSE(w http.ResponseWriter) eventWriter {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	return eventWriter{w: w, ctrl: http.NewResponseController(w)}
}

func (s eventWriter) event(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return s.data(data)
}

func (s eventWriter) data(data []byte) error {
	if _, err := s.w.Write(append(append([]byte("data: "), data...), '\n', '\n')); err != nil {
		return err
	}
	return s.ctrl.Flush()
}

// stream sends the output of a request from a position on, until its end, the client's end or an injected fault.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, g *generation, from int) {
	ctx, cancel := e.bind(r)
	defer cancel()
	fault := e.takeStreamFault(g)
	out := startSSE(w)
	if out.ctrl.Flush() != nil {
		return
	}
	sent := from
	for {
		p := e.progress(g)
		// A fault cuts the stream at its position, however far the engine is by then.
		to := fault.cut(from, p.produced)
		if to > sent {
			if out.event(g.chunk(sent, to, "")) != nil {
				return
			}
			sent = to
		}
		if fault.reached(from, sent) {
			e.strike(g, fault)
			return
		}
		switch p.finish {
		case "":
		case finishCancelled:
			breakConnection()
		default:
			e.finishStream(out, g, p)
			return
		}
		select {
		case <-p.changed:
		case <-ctx.Done():
			breakConnection()
		}
	}
}

func (e *Engine) finishStream(out eventWriter, g *generation, p progress) {
	if out.event(g.chunk(p.produced, p.produced, p.finish)) != nil {
		return
	}
	last := g.object("text_completion")
	if g.chat {
		last.Object = "chat.completion.chunk"
	}
	last.Usage = g.usage()
	last.IndexFrom = &p.produced
	if out.event(last) != nil {
		return
	}
	_ = out.data([]byte("[DONE]")) // the client may be gone
}

// whole answers a request without a stream.
func (e *Engine) whole(w http.ResponseWriter, r *http.Request, g *generation) {
	ctx, cancel := e.bind(r)
	defer cancel()
	fault := e.takeStreamFault(g)
	for {
		p := e.progress(g)
		if fault.reached(0, p.produced) {
			e.strikeWhole(w, g, fault)
		}
		switch p.finish {
		case "":
		case finishCancelled:
			breakConnection()
		default:
			writeJSON(w, http.StatusOK, g.answer(p))
			return
		}
		select {
		case <-p.changed:
		case <-ctx.Done():
			breakConnection()
		}
	}
}

func (g *generation) answer(p progress) completionObject {
	text := outputText(g.seed, 0, p.produced)
	c := choice{FinishReason: &p.finish}
	kind := "text_completion"
	if g.chat {
		kind = "chat.completion"
		c.Message = &message{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	out := g.object(kind)
	out.Choices = append(out.Choices, c)
	out.Usage = g.usage()
	return out
}

// strikeWhole cuts an answer without a stream: its header announces more bytes than follow.
func (e *Engine) strikeWhole(w http.ResponseWriter, g *generation, fault StreamFault) {
	const start = `{"id":"`
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(2*len(start)))
	w.WriteHeader(http.StatusOK)
	_, _ = io.WriteString(w, start)
	_ = http.NewResponseController(w).Flush()
	fault.Kind = breakingKind(fault.Kind)
	e.strike(g, fault)
}
