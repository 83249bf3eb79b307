package view

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func TestOwnerMovesOnlyKeysOfTheLostRouter(t *testing.T) {
	is := is.New(t)
	before := &Snapshot{Routers: []Router{{ID: "a"}, {ID: "b"}, {ID: "c"}}}
	after := &Snapshot{Routers: []Router{{ID: "a"}, {ID: "c"}}}
	for i := range 1000 {
		key := fmt.Sprint("key", i)
		old, _ := before.Owner(key)
		moved, _ := after.Owner(key)
		if old != "b" {
			is.Equal(old, moved) // a key whose owner lives does not move
		}
	}
}

func TestOwnersAvoidDrainingRouters(t *testing.T) {
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
