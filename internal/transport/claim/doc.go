// Package claim runs the claim state machines of one router and connects them to
// the platform's log, to the messages of peers and to a clock.
//
// A router may execute a non-idempotent request only after a claim for the
// request's key has won. The claimant sends claim requests for the requests that
// this router received. There is a writer for each range of keys, which handles
// the claim requests of all routers while this router owns the range: it appends
// the claims to the log, reads them back, and answers with verdicts. Package
// coordination/claim describes the protocol.
//
// Messages from the router to itself pass through a queue, as messages from
// peers do, because a state machine is locked while its outputs are applied and
// therefore must not feed another one directly.
package claim
