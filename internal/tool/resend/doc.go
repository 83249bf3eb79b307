// Package resend sends and resends non-idempotent requests through real routers
// on loopback while the log fails and routers are killed and restarted. It counts
// the runs of each idempotency key at the endpoints and checks every answer and
// refusal against the counts.
package resend
