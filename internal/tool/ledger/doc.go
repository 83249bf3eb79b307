// Package ledger counts the service that organisations receive, as measured by
// their callers, and computes the fairness gap and the utilisation.
package ledger
