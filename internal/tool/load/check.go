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

// errWrong says that an answer that looks whole is not the request's own.
var errWrong = errors.New("the answer is not that of the request")

// check reads an answer to its end. It returns errWrong for an answer that
// ends as if it were whole and is not the request's own, and another error for
// one that breaks off, which its caller can see.
func (r *request) check(body io.Reader) error {
	if r.kind == KindStream {
		return r.checkStream(body)
	}
	data, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	if r.kind == KindWhole {
		return r.checkWhole(data)
	}
	var answer struct{ Path, Body, Key string }
	if err := json.Unmarshal(data, &answer); err != nil {
		return fmt.Errorf("%w: %w", errWrong, err)
	}
	if !strings.HasSuffix(r.path, answer.Path) || answer.Body != r.body || answer.Key != r.key {
		return fmt.Errorf("%w: it answers %s %q", errWrong, answer.Path, answer.Body)
	}
	return nil
}

func (r *request) checkWhole(data []byte) error {
	var answer struct {
		Choices []struct{ Message struct{ Content string } }
		Usage   struct {
			Tokens int `json:"completion_tokens"`
		}
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return fmt.Errorf("%w: %w", errWrong, err)
	}
	if len(answer.Choices) != 1 || answer.Usage.Tokens != r.tokens ||
		answer.Choices[0].Message.Content != engine.Content(r.tag, r.tokens) {
		return errWrong
	}
	return nil
}

// checkStream counts the tokens of a stream, each of which must be the next
// one of this request.
func (r *request) checkStream(body io.Reader) error {
	lines := bufio.NewReader(body)
	seen := 0
	content := []byte(`"content":"` + r.tag + ".")
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
			if seen != r.tokens {
				return fmt.Errorf("%w: it has %d tokens of %d", errWrong, seen, r.tokens)
			}
			_, err := io.Copy(io.Discard, lines)
			return err
		case bytes.Contains(line, []byte(`"content":`)):
			_, rest, found := bytes.Cut(line, content)
			number, _, _ := bytes.Cut(rest, []byte(" "))
			if !found || string(number) != strconv.Itoa(seen) {
				return fmt.Errorf("%w: token %d is %s", errWrong, seen, line)
			}
			seen++
			if r.served != nil {
				r.served()
			}
		}
	}
}
