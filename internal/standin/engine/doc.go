// Package engine stands in for a model engine.
//
// It batches continuously: each step gives one token to every running
// request, and a step takes longer the more requests run. A request that is
// admitted pays for the part of its prompt that the prefix cache doesn't
// hold. Requests are admitted first come first served, without priorities.
//
// What a request generates is a function of its body alone: every token
// carries a tag derived from the prompt and its own position, so that a caller
// can tell that an answer is its own and whole. Speeds are settings, so tests
// can run fast.
package engine
