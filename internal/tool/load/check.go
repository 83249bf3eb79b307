package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"hyssopreach/internal/standin/engine"
)

// errWrongAnswer reports an answer that looks complete but is not the expected
// answer to the request.
var errWrongAnswer = errors.New("the answer does not match the request")

// check reads an answer to its end. It returns errWrongAnswer for an answer that
// ends as if it were complete but is not the expected one, and another error
// for an answer that is cut off, which its caller can detect.
func (r *request) check(body io.Reader) error {
	if r.kind == KindStream {
		return r.checkStream(body)
	}
	data, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	if r.kind == KindUnstreamed {
		return r.checkUnstreamed(data)
	}
	var answer struct{ Path, Body, Key string }
	if err := json.Unmarshal(data, &answer); err != nil {
		return fmt.Errorf("%w: %w", errWrongAnswer, err)
	}
	if !strings.HasSuffix(r.path, answer.Path) || answer.Body != r.body || answer.Key != r.key {
		return fmt.Errorf("%w: found the answer to path %s with body %q", errWrongAnswer, answer.Path, answer.Body)
	}
	return nil
}

// checkUnstreamed checks the answer to a chat request that is not streamed.
func (r *request) checkUnstreamed(data []byte) error {
	var answer struct {
		Choices []struct{ Message struct{ Content string } }
		Usage   struct {
			Tokens int `json:"completion_tokens"`
		}
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return fmt.Errorf("%w: %w", errWrongAnswer, err)
	}
	if len(answer.Choices) != 1 || answer.Usage.Tokens != r.tokens ||
		answer.Choices[0].Message.Content != engine.AnswerContent(r.tag, r.tokens) {
		return errWrongAnswer
	}
	return nil
}

// checkStream checks that each token of a stream is the next token of the
// expected answer, and that the stream has all tokens at its end.
func (r *request) checkStream(body io.Reader) error {
	lines := bufio.NewReader(body)
	tokenCount := 0
	tokenPrefix := []byte(`"content":"` + r.tag + ".")
	for {
		line, err := lines.ReadSlice('\n')
		if err != nil {
			if errors.Is(err, io.EOF) {
				return io.ErrUnexpectedEOF
			}
			return err
		}
		switch {
		case bytes.Equal(line, []byte("data: [DONE]\n")):
			if tokenCount != r.tokens {
				return fmt.Errorf("%w: found the end of the stream after %d of %d tokens", errWrongAnswer, tokenCount, r.tokens)
			}
			_, err := io.Copy(io.Discard, lines)
			return err
		case bytes.Contains(line, []byte(`"content":`)):
			_, rest, found := bytes.Cut(line, tokenPrefix)
			number, _, _ := bytes.Cut(rest, []byte(" "))
			if !found || string(number) != strconv.Itoa(tokenCount) {
				return fmt.Errorf("%w: found at token %d the event %s", errWrongAnswer, tokenCount, line)
			}
			tokenCount++
			if r.onToken != nil {
				r.onToken()
			}
		}
	}
}
