// Package cost estimates what requests cost and what endpoints still have to do: the
// length of answers, the pace of endpoints, the ends of the requests that run there, and
// the errors of these predictions.
//
// All state has one owner, the admission policy of a router. Nothing here starts a
// goroutine, reads a clock, draws random numbers or sends messages. Memory is bounded:
// MaxKeys keys of the Model, paceBuckets values for each endpoint, and errorSamples values
// of each prediction.
//
// Choices use the estimates only while a Switch is on.
package cost
