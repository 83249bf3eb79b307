package endpoint

import "fmt"

// maxErrorBytes bounds the text of an error, in which net/http quotes whole lines of an
// answer.
const maxErrorBytes = 300

// limitedError returns an error whose text is bounded: the given one, or one with the
// beginning of its text.
func limitedError(err error) error {
	text := err.Error()
	if len(text) <= maxErrorBytes {
		return err
	}
	return fmt.Errorf("%.*s... (%d bytes)", maxErrorBytes, text, len(text))
}
