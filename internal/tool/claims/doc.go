// Package claims measures that non-idempotent requests run at most once.
//
// It runs the production state machines of the claim protocol (claimants, which
// claim keys for requests, and writers, which append the claims to the log and
// fold its records into verdicts) in virtual time against an in-memory
// append-only log, and injects faults at every boundary: lost answers of the
// log, appends that take effect late, a slow or unavailable log, routers that
// pause or restart with empty state, messages that are lost, delayed or
// duplicated, and callers that resend a request through other routers. It counts
// how often each request runs at the simulated endpoint and checks every refusal
// against these counts.
package claims
