// Package caller defines the HTTP interface between the system and its callers:
// paths, headers, the refusal, and the entry answer, which lists the routers that
// a caller can use.
//
// Model calls use the OpenAI-style JSON of chat and text completions. The
// package declares only the fields that routing depends on; the body is passed
// on to the engine unchanged.
package caller
