// Package engine simulates a model inference engine.
//
// The engine uses continuous batching: each step generates one token for every
// running request, and a step takes longer the more requests run. The step in
// which a request is admitted is also extended by the prefill time of the
// prompt tokens that are not in the prefix cache. Requests are admitted first
// come first served, without priorities.
//
// The text that is generated for a request depends only on the request's body,
// apart from its length, which may also depend on Settings.MeanTokens and
// Settings.Seed. Every token consists of a tag derived from the prompt and of
// the token's position, so that a caller can verify that an answer is complete
// and belongs to its request. Speeds are settings, so that tests can run fast.
package engine
