package gateway

import (
	"bytes"
	"cmp"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"unicode/utf8"

	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/core/routing"
)

// modelKind distinguishes the two APIs for model requests.
type modelKind int

const (
	chatCompletion modelKind = iota
	textCompletion
)

var modelPaths = map[modelKind]string{
	chatCompletion: "/v1/chat/completions",
	textCompletion: "/v1/completions",
}

// maxChoices bounds the choices (answers) that one request may ask for, over all its prompts.
const maxChoices = 16

// modelRequest is a parsed request to a model.
type modelRequest struct {
	fields       map[string]json.RawMessage
	Model        string
	Stream       bool
	IncludeUsage bool
	MaxTokens    int64 // per choice, 0 until applyLimits sets it
	Choices      int64
	Prompt       []byte // text that is split into blocks for the prefix cache
	PromptTokens int64  // estimate
}

func invalid(param, message string) *apiError {
	return notRunError(http.StatusBadRequest, "invalid_request", message).param(param)
}

// parseModelRequest parses the body of a model request. Members that the gateway does not know are kept as they are.
func parseModelRequest(kind modelKind, body []byte) (*modelRequest, *apiError) {
	if !utf8.Valid(body) {
		return nil, invalid("", "the body is not UTF-8")
	}
	r := &modelRequest{Choices: 1}
	if err := json.Unmarshal(body, &r.fields); err != nil {
		return nil, invalid("", "the body is no JSON object: "+err.Error())
	}
	if r.fields == nil {
		return nil, invalid("", "the body is no JSON object")
	}
	if err := r.decodeField("model", &r.Model); err != nil {
		return nil, err
	}
	if r.Model == "" {
		return nil, invalid("model", "the request names no model")
	}
	for _, read := range []func() *apiError{r.readStream, r.readLimits, r.readChoices} {
		if err := read(); err != nil {
			return nil, err
		}
	}
	if kind == chatCompletion {
		return r, r.readMessages()
	}
	return r, r.readPrompt()
}

// decodeField decodes a member of the body, if it is present and not null.
func (r *modelRequest) decodeField(name string, into any) *apiError {
	raw, ok := r.fields[name]
	if !ok || string(raw) == "null" {
		return nil
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return invalid(name, "the member "+name+" has a wrong type")
	}
	return nil
}

func (r *modelRequest) readStream() *apiError {
	if err := r.decodeField("stream", &r.Stream); err != nil {
		return err
	}
	var options map[string]json.RawMessage
	if err := r.decodeField("stream_options", &options); err != nil {
		return err
	}
	if raw, ok := options["include_usage"]; ok {
		if json.Unmarshal(raw, &r.IncludeUsage) != nil {
			return invalid("stream_options", "the member include_usage has a wrong type")
		}
	}
	if !r.Stream {
		delete(r.fields, "stream_options")
		return nil
	}
	if options == nil {
		options = map[string]json.RawMessage{}
	}
	options["include_usage"] = json.RawMessage("true") // the charge is settled by the reported usage
	return r.setField("stream_options", options)
}

func (r *modelRequest) readLimits() *apiError {
	var limit, completion *int64
	if err := r.decodeField("max_tokens", &limit); err != nil {
		return err
	}
	if err := r.decodeField("max_completion_tokens", &completion); err != nil {
		return err
	}
	if completion != nil {
		limit = completion
	}
	if limit == nil {
		return nil
	}
	if *limit <= 0 {
		return invalid("max_tokens", "the output limit must be positive")
	}
	r.MaxTokens = *limit
	return nil
}

func (r *modelRequest) readChoices() *apiError {
	for _, name := range []string{"n", "best_of"} {
		n := int64(1)
		if err := r.decodeField(name, &n); err != nil {
			return err
		}
		if n < 1 || n > maxChoices {
			return invalid(name, "the member "+name+" must be between 1 and "+strconv.Itoa(maxChoices))
		}
		r.Choices = max(r.Choices, n)
	}
	return nil
}

func (r *modelRequest) readMessages() *apiError {
	var messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}
	if err := r.decodeField("messages", &messages); err != nil {
		return err
	}
	if len(messages) == 0 {
		return invalid("messages", "the request has no messages")
	}
	var text bytes.Buffer
	for _, m := range messages {
		text.WriteString(m.Role)
		text.WriteByte('\n')
		if err := appendContent(&text, m.Content); err != nil {
			return err
		}
		text.WriteByte('\n')
	}
	r.setPrompt(text.Bytes())
	return nil
}

// appendContent appends the text of a message's content, which is a string or a list of parts. Parts without text, such as images, are
// appended as raw JSON, so that they count by their size.
func appendContent(to *bytes.Buffer, raw json.RawMessage) *apiError {
	if len(raw) == 0 || string(raw) == "null" {
		return nil
	}
	var s string
	if json.Unmarshal(raw, &s) == nil {
		to.WriteString(s)
		return nil
	}
	var parts []json.RawMessage
	if json.Unmarshal(raw, &parts) != nil {
		return invalid("messages", "the content of a message is neither a string nor a list")
	}
	for _, raw := range parts {
		var part struct {
			Text *string `json:"text"`
		}
		if json.Unmarshal(raw, &part) == nil && part.Text != nil {
			to.WriteString(*part.Text)
			continue
		}
		to.Write(raw)
	}
	return nil
}

func (r *modelRequest) readPrompt() *apiError {
	raw, ok := r.fields["prompt"]
	if !ok || string(raw) == "null" {
		return invalid("prompt", "the request has no prompt")
	}
	var one string
	if json.Unmarshal(raw, &one) == nil {
		r.setPrompt([]byte(one))
		return nil
	}
	var many []string
	if json.Unmarshal(raw, &many) == nil && len(many) > 0 {
		r.setPrompt([]byte(strings.Join(many, "")))
		return r.multiplyChoices(len(many))
	}
	var tokens []int64
	if json.Unmarshal(raw, &tokens) == nil && len(tokens) > 0 {
		r.PromptTokens = int64(len(tokens))
		return nil
	}
	var lists [][]int64
	if json.Unmarshal(raw, &lists) != nil || len(lists) == 0 {
		return invalid("prompt", "the prompt is neither a string nor a list of strings or tokens")
	}
	for _, l := range lists {
		r.PromptTokens += int64(len(l))
	}
	return r.multiplyChoices(len(lists))
}

// multiplyChoices multiplies the number of choices by the number of prompts.
func (r *modelRequest) multiplyChoices(prompts int) *apiError {
	r.Choices *= int64(prompts)
	if r.Choices > maxChoices {
		return invalid("prompt", "the request asks for more than "+strconv.Itoa(maxChoices)+" answers")
	}
	return nil
}

func (r *modelRequest) setPrompt(text []byte) {
	r.Prompt = text
	r.PromptTokens = routing.EstimateTokens(len(text))
}

func (r *modelRequest) setField(name string, value any) *apiError {
	raw, err := json.Marshal(value)
	if err != nil {
		return invalid(name, "the member "+name+" cannot be encoded")
	}
	r.fields[name] = raw
	return nil
}

// fallbackMaxTokens is the output limit of a model that declares none.
const fallbackMaxTokens = 1024

// applyLimits checks the request against the model's context length, and sets the output limit if the caller gave none.
func (r *modelRequest) applyLimits(m *config.Model) *apiError {
	context := int64(m.ContextTokens)
	if context > 0 && r.PromptTokens >= context {
		return notRunError(http.StatusBadRequest, "context_length_exceeded", "the prompt has about "+
			strconv.FormatInt(r.PromptTokens, 10)+" tokens, the model takes "+strconv.FormatInt(context, 10))
	}
	if r.MaxTokens == 0 {
		r.MaxTokens = int64(cmp.Or(m.DefaultMaxTokens, fallbackMaxTokens))
		if context > 0 {
			r.MaxTokens = min(r.MaxTokens, context-r.PromptTokens)
		}
	}
	if context > 0 && r.PromptTokens+r.MaxTokens > context {
		return notRunError(http.StatusBadRequest, "context_length_exceeded", "prompt and output limit together exceed the model's "+
			strconv.FormatInt(context, 10)+" tokens").param("max_tokens")
	}
	if _, ok := r.fields["max_completion_tokens"]; ok {
		if err := r.setField("max_completion_tokens", r.MaxTokens); err != nil {
			return err
		}
	}
	return r.setField("max_tokens", r.MaxTokens)
}

// chargedTokens returns the tokens that the request is charged at admission.
func (r *modelRequest) chargedTokens() int64 { return r.PromptTokens + r.Choices*r.MaxTokens }

// encode returns the body to send to the endpoint. The caller's priority is removed. A stream without a seed gets one, so that a repeat
// of the request at another endpoint gives the same answer.
func (r *modelRequest) encode(seed int64) ([]byte, *apiError) {
	delete(r.fields, "priority")
	if raw, ok := r.fields["seed"]; r.Stream && (!ok || string(raw) == "null") {
		if err := r.setField("seed", seed); err != nil {
			return nil, err
		}
	}
	out, err := json.Marshal(r.fields)
	if err != nil {
		return nil, invalid("", "the body cannot be encoded")
	}
	return out, nil
}
