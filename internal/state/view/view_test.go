package view

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// When a router is removed, only the keys that it owned may get another owner.
// Any other change would move state between routers that are still running.
func TestRemovedRouterMovesOnlyItsOwnKeys(t *testing.T) {
	is := is.New(t)
	before := &Snapshot{Routers: []Router{{ID: "a"}, {ID: "b"}, {ID: "c"}}}
	after := &Snapshot{Routers: []Router{{ID: "a"}, {ID: "c"}}}
	for i := range 1000 {
		key := fmt.Sprint("key", i)
		old, _ := before.Owner(key)
		current, _ := after.Owner(key)
		if old != "b" {
			is.Equal(old, current) // the owner is still live, so it must not change
		}
	}
}

// A draining router stops soon, so it must not own a key while another router
// is live. A snapshot without routers has no owner.
func TestDrainingRouterOwnsNoKeys(t *testing.T) {
	is := is.New(t)
	s := &Snapshot{Routers: []Router{{ID: "a", Draining: true}, {ID: "b"}}}
	for i := range 50 {
		owner, ok := s.Owner(fmt.Sprint(i))
		is.True(ok)
		is.Equal(owner, RouterID("b"))
	}
	_, ok := (&Snapshot{}).Owner("x")
	is.True(!ok)
}
