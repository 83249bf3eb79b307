package peer_test

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"hyssopreach/internal/protocol/peer"
	"hyssopreach/internal/state/revision"
	"hyssopreach/internal/state/text"
)

// TestConfigurationTextRoundTrip checks that the text is compressed and that
// the wire form keeps the version and the text.
func TestConfigurationTextRoundTrip(t *testing.T) {
	is := is.New(t)
	c := &revision.Configuration{Version: revision.Version{Revision: 3, Offset: 7, Hash: 9}, Text: bytes.Repeat([]byte("text "), 1000)}
	wire, err := peer.FromConfiguration(c)
	is.NoErr(err)
	is.True(len(wire.Text) < len(c.Text)/10)
	v, data, err := peer.ToConfiguration(wire)
	is.NoErr(err)
	is.Equal(v, c.Version)
	is.True(bytes.Equal(data, c.Text))
}

// TestConfigurationTextSizeIsLimited checks that a text that exceeds the limit when
// decompressed is rejected, because it could exhaust the receiver's memory, and
// that a text that is not compressed is rejected.
func TestConfigurationTextSizeIsLimited(t *testing.T) {
	is := is.New(t)
	wire, err := peer.FromConfiguration(&revision.Configuration{Text: make([]byte, text.MaxBytes+1)})
	is.NoErr(err)
	_, _, err = peer.ToConfiguration(wire)
	is.True(err != nil)
	_, _, err = peer.ToConfiguration(&peer.ConfigurationText{Text: []byte("not compressed")})
	is.True(err != nil)
}
