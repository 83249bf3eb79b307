package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
)

// answer writes the answer of one request in the OpenAI style.
type answer struct {
	writer   http.ResponseWriter
	sequence *sequence
	chat     bool
	written  int
	buffer   []byte
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	Delta        *delta   `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content,omitempty"`
}

// advance writes what the generated tokens allow to be written.
func (a *answer) advance(generated int) error {
	if a.sequence.prompt.Stream {
		return a.stream(generated)
	}
	if generated < a.sequence.total {
		return nil
	}
	return a.whole()
}

// stream writes the tokens that are new as server-sent events.
func (a *answer) stream(generated int) error {
	if a.written == 0 {
		a.writer.Header().Set("Content-Type", "text/event-stream")
	}
	s := a.sequence
	a.buffer = a.buffer[:0]
	for ; a.written < generated; a.written++ {
		a.event(a.chunk(s.prompt.token(s.tag, a.written)))
	}
	if generated == s.total {
		a.finish()
	}
	if _, err := a.writer.Write(a.buffer); err != nil {
		return fmt.Errorf("write stream: %w", err)
	}
	return http.NewResponseController(a.writer).Flush()
}

// chunk is one event's JSON. It is put together by hand, since the stand-in
// shares the processors with the routers that are measured.
func (a *answer) chunk(text string) []byte {
	s := a.sequence
	object, open, shut := "text_completion", `"text":`, ``
	if a.chat {
		object, open, shut = "chat.completion.chunk", `"delta":{"content":`, `}`
	}
	var b []byte
	b = append(b, `{"id":`...)
	b = strconv.AppendQuote(b, "cmpl-"+s.id)
	b = append(b, `,"object":"`...)
	b = append(b, object...)
	b = append(b, `","model":`...)
	b = strconv.AppendQuote(b, s.prompt.Model)
	b = append(b, `,"choices":[{"index":0,`...)
	b = append(b, open...)
	b = strconv.AppendQuote(b, text)
	b = append(b, shut...)
	return append(b, `,"finish_reason":null}]}`...)
}

func (a *answer) event(data []byte) {
	a.buffer = append(a.buffer, "data: "...)
	a.buffer = append(a.buffer, data...)
	a.buffer = append(a.buffer, "\n\n"...)
}

// finish writes the last events: why the answer ended, and its usage.
func (a *answer) finish() {
	last := a.completion(choice{Delta: &delta{}})
	if !a.chat {
		last = a.completion(choice{})
	}
	data, _ := json.Marshal(last)
	a.event(data)
	a.event([]byte("[DONE]"))
}

// whole writes the answer in one piece.
func (a *answer) whole() error {
	s := a.sequence
	content := Content(s.tag, s.total)
	c := choice{Text: content}
	if a.chat {
		c = choice{Message: &message{Role: "assistant", Content: content}}
	}
	data, err := json.Marshal(a.completion(c))
	if err != nil {
		return fmt.Errorf("write answer: %w", err)
	}
	a.writer.Header().Set("Content-Type", "application/json")
	a.writer.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, err = a.writer.Write(data)
	return err
}

// completion is the last message of an answer, with its usage.
func (a *answer) completion(c choice) completion {
	reason := "stop"
	c.FinishReason = &reason
	s := a.sequence
	object := "text_completion"
	switch {
	case a.chat && s.prompt.Stream:
		object = "chat.completion.chunk"
	case a.chat:
		object = "chat.completion"
	}
	return completion{
		ID: "cmpl-" + s.id, Object: object, Model: s.prompt.Model, Choices: []choice{c},
		Usage: &usage{s.prompt.tokens, s.total, s.prompt.tokens + s.total},
	}
}
