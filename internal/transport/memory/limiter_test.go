package memory

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

func TestHoldingsShareALimit(t *testing.T) {
	is := is.New(t)
	l := NewLimiter(100)
	a, b := l.NewHolding(10), l.NewHolding(10)
	is.NoErr(a.Resize(10))
	is.NoErr(a.Resize(80))
	is.NoErr(b.Resize(40))
	is.True(errors.Is(b.Resize(41), ErrExhausted))
	is.True(errors.Is(a.Resize(81), ErrExhausted))
	is.NoErr(a.Resize(79))
	is.NoErr(b.Resize(41))
	a.Release()
	a.Release()
	is.NoErr(b.Resize(110))
	is.True(errors.Is(a.Resize(11), ErrExhausted))
	b.Release()
	is.NoErr(a.Resize(110))
}

func TestNilLimiterBoundsNothing(t *testing.T) {
	is := is.New(t)
	var l *Limiter
	h := l.NewHolding(0)
	is.NoErr(h.Resize(1 << 60))
	h.Release()
}
