// Package execution runs admitted calls: it waits until the scheduler assigns
// an endpoint, sends the call there, retries where that is safe, and copies the
// answer to the caller.
//
// The package maintains these invariants:
//
//   - A call that is not idempotent is sent again only if no earlier attempt
//     can have run: nothing was sent, or the endpoint rejected the attempt.
//   - A refusal states that the call did not run only on the same condition.
//   - An answer that broke off is never presented as complete.
package execution
