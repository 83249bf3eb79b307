// Package caller defines the HTTP interface between the system and its callers:
// paths, headers, the entry answer and the refusal.
//
// Model calls use the OpenAI-style JSON of chat and text completions. The
// package declares only the fields that routing depends on; the body is passed
// on to the engine unchanged.
package caller
