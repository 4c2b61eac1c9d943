package gateway

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"dogwoodknot.example/dogwoodknot/internal/limits"
)

func (in *instance) openai(key string) openai.Client {
	return openai.NewClient(option.WithBaseURL(in.url+"/v1/"), option.WithAPIKey(key), option.WithHTTPClient(in.client), option.WithMaxRetries(0))
}

func question() openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    "taller-lm",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("which metal?"), openai.AssistantMessage("copper"), openai.UserMessage("why?")},
	}
}

// Guards against answers that OpenAI's published Go client cannot parse.
func TestOpenAIClient(t *testing.T) {
	e := newEngine(t)
	in := start(t, "lima", testView(engineAt(e, "r1", "lima")), nil)
	client, ctx := in.openai(workshopKey), context.Background()
	answer, err := client.Chat.Completions.New(ctx, question())
	if err != nil || answer.Choices[0].Message.Content != fiveWords || answer.Usage.CompletionTokens != 5 {
		t.Fatalf("chat: %+v %v", answer, err)
	}
	params := question()
	params.StreamOptions.IncludeUsage = openai.Bool(true)
	stream := client.Chat.Completions.NewStreaming(ctx, params)
	var all openai.ChatCompletionAccumulator
	var text strings.Builder
	for stream.Next() {
		all.AddChunk(stream.Current())
		for _, c := range stream.Current().Choices {
			text.WriteString(c.Delta.Content)
		}
	}
	if err := stream.Err(); err != nil || text.String() != fiveWords || all.Usage.CompletionTokens != 5 {
		t.Fatalf("stream: %q %+v %v", text.String(), all.Usage, err)
	}
	completion, err := client.Completions.New(ctx, openai.CompletionNewParams{
		Model: "taller-lm", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("vane")}})
	if err != nil || completion.Choices[0].Text != fiveWords {
		t.Fatalf("completion: %+v %v", completion, err)
	}
	models, err := client.Models.List(ctx)
	if err != nil || len(models.Data) != 1 || models.Data[0].ID != "taller-lm" {
		t.Fatalf("models: %+v %v", models, err)
	}
	if m, err := client.Models.Get(ctx, "taller-lm"); err != nil || m.ID != "taller-lm" {
		t.Fatalf("model: %+v %v", m, err)
	}
}

// Guards against errors that OpenAI's published Go client reports as another error, or as a complete answer.
func TestOpenAIClientSeesErrors(t *testing.T) {
	e := newEngine(t)
	in := start(t, "lima", testView(engineAt(e, "r1", "lima")), nil)
	ctx := context.Background()
	check := func(err error, status int, code, kind string) {
		t.Helper()
		var api *openai.Error
		if !errors.As(err, &api) || api.StatusCode != status || api.Code != code || api.Type != kind || api.Message == "" {
			t.Fatalf("got %v, want %d %s %s", err, status, code, kind)
		}
	}
	wrong := in.openai("dk_1k_wrong")
	_, err := wrong.Chat.Completions.New(ctx, question())
	check(err, 401, "invalid_api_key", "authentication_error")
	client := in.openai(workshopKey)
	params := question()
	params.Model = "other"
	_, err = client.Chat.Completions.New(ctx, params)
	check(err, 404, "model_not_found", "not_found_error")
	in.limiter.mu.Lock()
	in.limiter.rejectWith = &limits.RefusedError{Organisation: "workshop", RetryAfter: time.Second}
	in.limiter.mu.Unlock()
	_, err = client.Chat.Completions.New(ctx, question())
	check(err, 429, "rate_limit_exceeded", "rate_limit_error")
	in.limiter.mu.Lock()
	in.limiter.rejectWith = nil
	in.limiter.mu.Unlock()

	e.mu.Lock()
	e.breaks, e.breakAt, e.forgetsRequests = 100, 2, true
	e.mu.Unlock()
	stream := client.Chat.Completions.NewStreaming(ctx, question())
	var text strings.Builder
	for stream.Next() {
		if c := stream.Current().Choices; len(c) > 0 {
			text.WriteString(c[0].Delta.Content)
		}
	}
	if stream.Err() == nil || text.String() != "w0 w1 " {
		t.Fatalf("cut stream: %q, error %v", text.String(), stream.Err())
	}
	_, err = client.Chat.Completions.New(ctx, question())
	check(err, http.StatusBadGateway, "endpoint_failed", "server_error")
}
