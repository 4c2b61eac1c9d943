package dispatch

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// errDiverged is the error of a retried stream whose text differs from what the caller has already received.
var errDiverged = errors.New("a repeated answer differs from the part already sent")

// errNotResumable is the error of a stream that broke after content that cannot be compared with that of another attempt.
var errNotResumable = errors.New("the part already sent cannot be matched with a repeated answer")

// Progress is what the caller of a stream has received. It joins the streams of several attempts into one: text that the caller already
// has is compared and skipped. It must be used by one goroutine at a time.
type Progress struct {
	// SingleChoice says that the request asks for one choice. Only such streams can be continued by another attempt.
	SingleChoice bool

	text       []byte // sent to the caller so far
	lastIndex  int64  // output tokens before the last sent chunk
	lastOffset int    // length of text before the last sent chunk
	position   int    // offset in text that the current attempt has reached
	attempts   int
	started    bool // an event was sent
	nonText    bool // something other than text was sent
	finished   bool // a finish reason was sent
	id         json.RawMessage

	// Usage as reported by the endpoint; valid if UsageKnown.
	PromptTokens, OutputTokens int64
	UsageKnown                 bool
}

// Started reports whether the caller has received anything.
func (p *Progress) Started() bool { return p.started }

// SentTokens estimates the output tokens that the caller has received. It is used to account for a stream without usage.
func (p *Progress) SentTokens() int64 {
	if len(p.text) == 0 && !p.nonText {
		return 0
	}
	return max(p.lastIndex+1, int64(len(p.text)+3)/4)
}

// BeginAttempt starts an attempt whose stream starts with the first token. It returns errNotResumable if the attempt cannot continue what
// the caller has received.
func (p *Progress) BeginAttempt() error {
	p.attempts++
	p.position = 0
	return p.checkJoinable()
}

// beginResume starts an attempt that continues the stream of the last one, and returns the index of the token to continue from.
func (p *Progress) beginResume() (int64, error) {
	p.attempts++
	p.position = p.lastOffset
	return p.lastIndex, p.checkJoinable()
}

func (p *Progress) checkJoinable() error {
	if p.started && (p.nonText || !p.SingleChoice) {
		return errNotResumable
	}
	return nil
}

// chunk holds the fields of a stream's event that are evaluated.
type chunk struct {
	ID        json.RawMessage `json:"id"`
	IndexFrom *int64          `json:"index_from"`
	Choices   []choice        `json:"choices"`
	Usage     *usage          `json:"usage"`
	Error     json.RawMessage `json:"error"`
}

type choice struct {
	Index        int                        `json:"index"`
	Text         string                     `json:"text"`
	Delta        map[string]json.RawMessage `json:"delta"`
	Logprobs     json.RawMessage            `json:"logprobs"`
	FinishReason *string                    `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
}

// errorEvent is the error for an error event in a stream.
type errorEvent struct{ data json.RawMessage }

func (e *errorEvent) Error() string { return "the endpoint sent an error event" }

// Accept records the data of one event and returns the data to send to the caller, or nil if there is nothing new in it.
func (p *Progress) Accept(data []byte) ([]byte, error) {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, errors.Wrap(err, "event of the endpoint is no JSON object")
	}
	if isSet(c.Error) {
		return nil, &errorEvent{c.Error}
	}
	if c.Usage != nil {
		p.PromptTokens, p.OutputTokens, p.UsageKnown = c.Usage.PromptTokens, c.Usage.CompletionTokens, true
	}
	text, opaque, finish, err := content(&c)
	if err != nil {
		return nil, err
	}
	skip, err := p.overlap(text)
	if err != nil {
		return nil, err
	}
	if p.attempts > 1 && p.isRepetition(text, skip, opaque, finish, &c) {
		return nil, nil
	}
	out := data
	if p.attempts > 1 {
		if out, err = p.rewrite(data, &c, text, skip); err != nil {
			return nil, err
		}
	}
	p.record(&c, text, skip, opaque, finish)
	return out, nil
}

// overlap compares the text with what the caller has at the same offset, and returns the length of the part to skip.
func (p *Progress) overlap(text string) (int, error) {
	n := min(len(p.text)-p.position, len(text))
	if n <= 0 {
		return 0, nil
	}
	if string(p.text[p.position:p.position+n]) != text[:n] {
		return 0, errDiverged
	}
	return n, nil
}

// isRepetition reports whether an event of a later attempt contains nothing new, and advances the position if so.
func (p *Progress) isRepetition(text string, skip int, opaque, finish bool, c *chunk) bool {
	if len(text) > skip || opaque {
		return false
	}
	if finish {
		return p.finished
	}
	if c.Usage != nil && len(c.Choices) == 0 {
		return false
	}
	if !p.started {
		return false
	}
	p.position += len(text)
	return true
}

func (p *Progress) record(c *chunk, text string, skip int, opaque, finish bool) {
	p.started = true
	if p.id == nil {
		p.id = c.ID
	}
	p.nonText = p.nonText || opaque
	p.finished = p.finished || finish
	p.position += len(text)
	if len(text) == skip {
		return
	}
	if p.SingleChoice {
		p.lastOffset = len(p.text)
		p.text = append(p.text, text[skip:]...)
	}
	if c.IndexFrom == nil {
		p.lastIndex, p.lastOffset = 0, 0
		return
	}
	p.lastIndex = *c.IndexFrom
	if skip > 0 {
		p.lastOffset -= skip // the chunk with this index began before its new part
	}
}

// rewrite gives an event of a later attempt the id of the first attempt and removes the skipped text.
func (p *Progress) rewrite(data []byte, c *chunk, text string, skip int) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, err
	}
	if p.id != nil && c.ID != nil {
		fields["id"] = p.id
	}
	if skip > 0 {
		if isSet(c.Choices[0].Logprobs) {
			return nil, errNotResumable
		}
		choices, err := replaceText(fields["choices"], text[skip:])
		if err != nil {
			return nil, err
		}
		fields["choices"] = choices
	}
	return json.Marshal(fields)
}

// replaceText replaces the text of the only choice, in either of the two formats for it.
func replaceText(raw json.RawMessage, text string) (json.RawMessage, error) {
	var choices []map[string]json.RawMessage
	if err := json.Unmarshal(raw, &choices); err != nil {
		return nil, err
	}
	encoded, err := json.Marshal(text)
	if err != nil {
		return nil, err
	}
	if _, ok := choices[0]["text"]; ok {
		choices[0]["text"] = encoded
		return json.Marshal(choices)
	}
	var delta map[string]json.RawMessage
	if err := json.Unmarshal(choices[0]["delta"], &delta); err != nil {
		return nil, err
	}
	delta["content"] = encoded
	if choices[0]["delta"], err = json.Marshal(delta); err != nil {
		return nil, err
	}
	return json.Marshal(choices)
}

// content returns the text of a chunk, whether it contains anything other than text, and whether it ends a choice.
func content(c *chunk) (text string, opaque, finish bool, err error) {
	for _, ch := range c.Choices {
		text += ch.Text
		finish = finish || ch.FinishReason != nil
		for name, raw := range ch.Delta {
			switch {
			case name == "role" || !isSet(raw):
			case name == "content":
				var s string
				if err := json.Unmarshal(raw, &s); err != nil {
					return "", false, false, errors.Wrap(err, "content of an event is no string")
				}
				text += s
			default:
				opaque = true
			}
		}
	}
	return text, opaque || len(c.Choices) > 1, finish, nil
}

func isSet(raw json.RawMessage) bool { return len(raw) > 0 && string(raw) != "null" }
