// Package caller holds what the system and its callers say to each other over
// HTTP: paths, headers, the entry answer and the refusal.
//
// Model calls use the OpenAI-style JSON of chat and text completions; only the
// fields that routing depends on are declared here, and the body is passed on
// to the engine unchanged.
package caller
