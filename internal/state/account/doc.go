// Package account does the accounting for fair sharing: it records the weighted
// service that each organisation has received from a pool.
//
// An organisation's counter is the sum of its settled service, which it has
// received and which never decreases, and of a reserve for each of its running
// requests, which covers the service that the request is still expected to
// receive. All amounts are units of service divided by the organisation's
// weight. A unit of service is, for example, a token that a model generates, or
// a millisecond of a call to a plain service.
//
// Each router measures the service that it provides in a Meter. The holder of
// an organisation's account, one of the routers, adds up the meters of all
// routers in a Ledger. A dispatcher, which grants the slots of endpoints, keeps
// its own estimate of the counters of the organisations that bid for slots in
// Counters.
//
// Invariants:
//   - Settled amounts never decrease.
//   - Reports may be lost, duplicated or reordered: they carry cumulative
//     totals.
//   - An organisation that was idle resumes at the pool's virtual time, which
//     is approximately the lowest counter that is being served, so it
//     accumulates no credit while it is idle.
//   - An empty ledger, such as that of a new holder, restores an account from
//     the balances that the routers retain.
package account
