// Package execution takes an admitted call through waiting, sending and
// answering.
//
// It keeps three promises. A request that is not idempotent is sent at most
// once. A refusal says that nothing ran only if nothing was ever sent. An
// answer that broke off is never passed off as complete.
package execution
