// Package claim runs a router's claimant and its writers of claims: it gives
// them the platform's log, the messages of peers and a clock.
//
// Messages to the router itself take the same way as those from peers, through
// a queue, because the machines are locked while they send.
package claim
