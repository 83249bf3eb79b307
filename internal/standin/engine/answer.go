package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
)

// answer writes the answer to one request in the format of the OpenAI API.
type answer struct {
	writer        http.ResponseWriter
	sequence      *sequence
	chat          bool
	writtenTokens int
	buffer        []byte
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

// writeProgress writes the part of the answer that can be written after the
// given number of generated tokens: the new tokens of a stream, or the whole
// answer once all tokens are generated.
func (a *answer) writeProgress(generated int) error {
	if a.sequence.prompt.Stream {
		return a.writeEvents(generated)
	}
	if generated < a.sequence.totalTokens {
		return nil
	}
	return a.writeComplete()
}

// writeEvents writes the tokens that are not written yet as server-sent
// events.
func (a *answer) writeEvents(generated int) error {
	if a.writtenTokens == 0 {
		a.writer.Header().Set("Content-Type", "text/event-stream")
	}
	s := a.sequence
	a.buffer = a.buffer[:0]
	for ; a.writtenTokens < generated; a.writtenTokens++ {
		a.appendEvent(a.chunk(s.prompt.token(s.tag, a.writtenTokens)))
	}
	if generated == s.totalTokens {
		a.appendFinalEvents()
	}
	if _, err := a.writer.Write(a.buffer); err != nil {
		return fmt.Errorf("write stream: %w", err)
	}
	return http.NewResponseController(a.writer).Flush()
}

// chunk returns the JSON text of one event. It is concatenated by hand because
// the stand-in shares the processors with the routers under measurement, and
// json.Marshal would use more processor time.
func (a *answer) chunk(text string) []byte {
	s := a.sequence
	object, prefix, suffix := "text_completion", `"text":`, ``
	if a.chat {
		object, prefix, suffix = "chat.completion.chunk", `"delta":{"content":`, `}`
	}
	var b []byte
	b = append(b, `{"id":`...)
	b = strconv.AppendQuote(b, "cmpl-"+s.id)
	b = append(b, `,"object":"`...)
	b = append(b, object...)
	b = append(b, `","model":`...)
	b = strconv.AppendQuote(b, s.prompt.Model)
	b = append(b, `,"choices":[{"index":0,`...)
	b = append(b, prefix...)
	b = strconv.AppendQuote(b, text)
	b = append(b, suffix...)
	return append(b, `,"finish_reason":null}]}`...)
}

// appendEvent appends a server-sent event with the data to the buffer.
func (a *answer) appendEvent(data []byte) {
	a.buffer = append(a.buffer, "data: "...)
	a.buffer = append(a.buffer, data...)
	a.buffer = append(a.buffer, "\n\n"...)
}

// appendFinalEvents appends the last events of a stream to the buffer: the
// finish reason with the token usage, and the end marker.
func (a *answer) appendFinalEvents() {
	last := a.finalCompletion(choice{Delta: &delta{}})
	if !a.chat {
		last = a.finalCompletion(choice{})
	}
	data, _ := json.Marshal(last)
	a.appendEvent(data)
	a.appendEvent([]byte("[DONE]"))
}

// writeComplete writes the answer as a single JSON document.
func (a *answer) writeComplete() error {
	s := a.sequence
	content := AnswerContent(s.tag, s.totalTokens)
	c := choice{Text: content}
	if a.chat {
		c = choice{Message: &message{Role: "assistant", Content: content}}
	}
	data, err := json.Marshal(a.finalCompletion(c))
	if err != nil {
		return fmt.Errorf("write answer: %w", err)
	}
	a.writer.Header().Set("Content-Type", "application/json")
	a.writer.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, err = a.writer.Write(data)
	return err
}

// finalCompletion returns the last message of an answer, with the finish
// reason and the token usage.
func (a *answer) finalCompletion(c choice) completion {
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
		Usage: &usage{s.prompt.tokens, s.totalTokens, s.prompt.tokens + s.totalTokens},
	}
}
