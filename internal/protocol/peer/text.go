package peer

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"

	"hyssopreach/internal/state/revision"
	"hyssopreach/internal/state/text"
)

// FromConfiguration returns the wire form of a text in force. The text is
// compressed, since a router may have to serve it to several others.
func FromConfiguration(c *revision.Configuration) (*ConfigurationText, error) {
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	if _, err := w.Write(c.Text); err != nil {
		return nil, fmt.Errorf("compress the text of revision %d: %w", c.Revision, err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress the text of revision %d: %w", c.Revision, err)
	}
	return &ConfigurationText{Revision: c.Revision, Offset: c.Offset, Hash: c.Hash, Text: packed.Bytes()}, nil
}

// ToConfiguration reads the wire form of a text in force.
func ToConfiguration(wire *ConfigurationText) (revision.Version, []byte, error) {
	v := revision.Version{Revision: wire.Revision, Offset: wire.Offset, Hash: wire.Hash}
	r, err := gzip.NewReader(bytes.NewReader(wire.Text))
	if err != nil {
		return v, nil, fmt.Errorf("expand the text of revision %d: %w", v.Revision, err)
	}
	data, err := io.ReadAll(io.LimitReader(r, text.MaxBytes+1))
	if err != nil {
		return v, nil, fmt.Errorf("expand the text of revision %d: %w", v.Revision, err)
	}
	if len(data) > text.MaxBytes {
		return v, nil, fmt.Errorf("expand the text of revision %d: more than %d bytes", v.Revision, text.MaxBytes)
	}
	return v, data, nil
}
