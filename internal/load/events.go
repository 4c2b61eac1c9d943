package load

import (
	"encoding/json"
	"errors"
	"io"
	"iter"

	"dogwoodknot.example/dogwoodknot/internal/sse"
)

// ChatEvent is one event of a streamed chat answer.
type ChatEvent struct {
	Done         bool   // end mark of a complete answer; the other fields are zero
	Content      string // text of the first choice; empty for events without a token
	OutputTokens int    // of the whole answer; 0 for events without usage
	Error        *ChatError
}

// ChatError says why an answer was refused or has ended early.
type ChatError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// ErrorBody is the JSON body of an error answer. Error is nil if the body has none.
type ErrorBody struct {
	Error *ChatError `json:"error"`
}

type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
	ErrorBody
}

// ChatEvents reads the events of a streamed chat answer up to the end of the body, also after the end mark or an error event.
// An error of the connection, or an event that is not JSON, is given with a zero event and ends the sequence.
func ChatEvents(body io.Reader) iter.Seq2[ChatEvent, error] {
	return func(yield func(ChatEvent, error) bool) {
		events := sse.NewReader(body)
		for {
			data, err := events.Next()
			if errors.Is(err, io.EOF) {
				return
			}
			var event ChatEvent
			if err == nil {
				event, err = chatEvent(data)
			}
			if !yield(event, err) || err != nil {
				return
			}
		}
	}
}

func chatEvent(data []byte) (ChatEvent, error) {
	if string(data) == "[DONE]" {
		return ChatEvent{Done: true}, nil
	}
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return ChatEvent{}, err
	}
	event := ChatEvent{Error: c.Error}
	if len(c.Choices) > 0 {
		event.Content = c.Choices[0].Delta.Content
	}
	if c.Usage != nil {
		event.OutputTokens = c.Usage.CompletionTokens
	}
	return event, nil
}
