// Package admission is the policy by which each router decides for itself when
// and where its waiting requests run.
//
// A request is sent as soon as an endpoint is expected to begin its answer
// soon enough, so that engines keep short queues and no capacity idles while
// work waits. What has to wait does so here, ordered by organisation: those
// that have received less than their max-min share of the fleet's work go
// first. A request that is not expected to begin in time is refused at once,
// with an instant at which there should be room.
//
// Routers tell each other in pulses what they keep at each endpoint and what
// each organisation has asked for and received. A pulse is advice: one that
// comes late or never makes decisions worse, and breaks nothing.
//
// A Policy starts no goroutine, reads no clock and draws random numbers only
// from its given source.
package admission
