// Package resend sends non-idempotent requests through real routers on
// loopback, again and again, while the log fails and routers are killed and
// restarted. It counts the runs of each key at the endpoints and checks every
// answer and refusal against them.
package resend
