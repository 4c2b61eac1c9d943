package standin

import (
	"net/http"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
)

// Guards against answers and streams that a published client of the protocol cannot read.
func TestEngineWithOpenAIClient(t *testing.T) {
	_, r := newEngineRig(t, EngineOptions{OutputTokens: 9})
	client := openai.NewClient(
		option.WithBaseURL(r.url+"/v1/"),
		option.WithHTTPClient(r.client),
		option.WithAPIKey("unused"),
		option.WithMaxRetries(0),
	)
	params := openai.ChatCompletionNewParams{
		Model:    "m",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("which metal?")},
	}
	want := OutputText(ChatPrompt("user", "which metal?"), 0, 9)
	whole, err := client.Chat.Completions.New(r.ctx, params)
	if err != nil {
		t.Fatal(err)
	}
	if got := whole.Choices[0]; got.Message.Content != want || got.FinishReason != finishStop {
		t.Fatalf("answer is %+v", got)
	}
	stream := client.Chat.Completions.NewStreaming(r.ctx, params)
	defer stream.Close()
	var acc openai.ChatCompletionAccumulator
	for stream.Next() {
		if !acc.AddChunk(stream.Current()) {
			t.Fatalf("chunk does not fit: %s", stream.Current().RawJSON())
		}
	}
	if err := stream.Err(); err != nil {
		t.Fatal(err)
	}
	if got := acc.Choices[0]; got.Message.Content != want || got.FinishReason != finishStop || acc.Usage.CompletionTokens != 9 {
		t.Fatalf("stream is %+v, usage %+v", got, acc.Usage)
	}
	params.Model = "unknown"
	_, err = client.Chat.Completions.New(r.ctx, params)
	failed, ok := err.(*openai.Error)
	if !ok || failed.StatusCode != http.StatusNotFound || failed.Code != "model_not_found" {
		t.Fatalf("error is %v", err)
	}
}
