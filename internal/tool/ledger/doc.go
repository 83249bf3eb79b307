// Package ledger keeps account of the service that organisations receive, as
// their callers see it, and works out the fairness gap and the utilisation.
package ledger
