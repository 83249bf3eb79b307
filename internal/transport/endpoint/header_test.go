package endpoint

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"hyssopreach/internal/protocol/platform"
)

// FuzzEndpointHeader checks that, whatever a caller sends, the endpoint receives
// exactly one request ID, no hop-by-hop field, and no idempotency key in
// canonical spelling, since net/http may resend a request that has one.
func FuzzEndpointHeader(f *testing.F) {
	f.Add("Connection: close, X-Request-ID\r\nX-Request-ID: mine\r\n")
	f.Add("Idempotency-Key: a\r\nidempotency-key: b\r\nX-Idempotency-Key: c\r\n")
	f.Add("Transfer-Encoding: chunked\r\nTrailer: X\r\nTE: trailers\r\nUpgrade: h2c\r\n")
	f.Add("Connection: Authorization\r\nAuthorization: Bearer k\r\nExpect: 100-continue\r\n")
	f.Fuzz(func(t *testing.T, fields string) {
		raw := "GET / HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n"
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(raw)))
		if err != nil {
			return
		}
		header := NewClient(nil).endpointHeader(r.Header, "id")
		if ids := header.Values(platform.HeaderRequestID); len(ids) != 1 || ids[0] != "id" {
			t.Fatalf("request IDs are %q; want exactly \"id\"", ids)
		}
		for name := range header {
			if hopByHopHeaders[http.CanonicalHeaderKey(name)] {
				t.Fatalf("hop-by-hop field %s is forwarded", name)
			}
		}
		if header.Get("Idempotency-Key") != "" || header.Get("X-Idempotency-Key") != "" {
			t.Fatal("an idempotency key has its canonical spelling; net/http may resend the request")
		}
	})
}
