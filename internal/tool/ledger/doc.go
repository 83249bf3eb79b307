// Package ledger counts the service that organisations receive, as measured by
// their callers, and computes the fairness gap and the utilisation. Service is
// an amount of work, such as the number of streamed tokens; the caller of
// Ledger.Add chooses the unit.
package ledger
