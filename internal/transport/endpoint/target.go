package endpoint

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"strings"
)

// maxLoggedTarget bounds the part of a path and query that an error contains.
const maxLoggedTarget = 200

var (
	errTargetForm  = errors.New("it begins with no slash")
	errTargetByte  = errors.New("it contains a space or a control character")
	errTargetWrite = errors.New("it begins with two slashes and can't be written unchanged")
)

// CheckTarget returns an error if an attempt can't be sent with exactly these bytes as its
// path and query.
func CheckTarget(target string) error {
	_, err := targetURL(netip.AddrPort{}, target)
	return err
}

// targetURL returns a URL that net/http writes as the target, byte for byte.
func targetURL(address netip.AddrPort, target string) (*url.URL, error) {
	if err := checkTargetBytes(target); err != nil {
		return nil, targetError(target, err)
	}
	u := &url.URL{Scheme: "http", Host: address.String(), Opaque: target}
	if u.RequestURI() == target {
		return u, nil
	}
	// An Opaque that begins with two slashes is written with the scheme.
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return nil, targetError(target, err)
	}
	if u.RequestURI() != target {
		return nil, targetError(target, errTargetWrite)
	}
	u.Scheme, u.Host = "http", address.String()
	return u, nil
}

func targetError(target string, err error) error {
	return fmt.Errorf("path and query %q: %w", target[:min(len(target), maxLoggedTarget)], err)
}

func checkTargetBytes(target string) error {
	if !strings.HasPrefix(target, "/") {
		return errTargetForm
	}
	for i := range len(target) {
		if target[i] <= ' ' || target[i] == 0x7f {
			return errTargetByte
		}
	}
	return nil
}
