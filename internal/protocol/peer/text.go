package peer

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"

	"hyssopreach/internal/state/revision"
	"hyssopreach/internal/state/text"
)

// FromConfiguration converts the configuration in force to its wire form. The
// text is compressed, because a router may have to send it to several others.
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

// ToConfiguration converts the configuration in force from its wire form. It
// returns an error if the decompressed text exceeds text.MaxBytes.
func ToConfiguration(wire *ConfigurationText) (revision.Version, []byte, error) {
	v := revision.Version{Revision: wire.Revision, Offset: wire.Offset, Hash: wire.Hash}
	r, err := gzip.NewReader(bytes.NewReader(wire.Text))
	if err != nil {
		return v, nil, fmt.Errorf("decompress the text of revision %d: %w", v.Revision, err)
	}
	data, err := io.ReadAll(io.LimitReader(r, text.MaxBytes+1))
	if err != nil {
		return v, nil, fmt.Errorf("decompress the text of revision %d: %w", v.Revision, err)
	}
	if len(data) > text.MaxBytes {
		return v, nil, fmt.Errorf("decompress the text of revision %d: larger than the allowed %d bytes", v.Revision, text.MaxBytes)
	}
	return v, data, nil
}
