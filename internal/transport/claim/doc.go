// Package claim runs the claim state machines of one router, its claimant and
// its writers. It connects them to the platform's log, to the messages of peers
// and to a clock.
//
// Messages from the router to itself pass through a queue, as messages from
// peers do, because a state machine is locked while its outputs are applied and
// therefore must not feed another one directly.
package claim
