// Package outcome adds up, from the logs of several routers, which part of the
// requests was served: of each class by the size of the request, and of each
// organisation. Requests that the configuration does not allow do not count.
//
// A caller that returns after a refusal sends a new attempt under another id.
// Requests of the same organisation, class, and numbers of prompt and answer
// tokens are therefore counted as one request, which is served if one of its
// attempts was routed. Different requests that agree in all of these count as one,
// so that the figures of classes with small prompts are too high.
package outcome
