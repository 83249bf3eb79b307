// Package listing determines which endpoints exist from the lists that are read
// from the platform's store.
//
// Endpoints renew their entries in the store. During an outage of the store,
// entries may lapse although their endpoints still run. An endpoint that is
// missing from the list after an outage is therefore retained for the time in
// which endpoints renew lapsed entries. At all other times, an endpoint that is
// missing from the list no longer exists.
//
// The store may be restored from an older copy of itself. Until endpoints have
// written again, its list may name endpoints that have gone, name others as ready
// that leave, and lack those that have started since. For a limited time, what was
// known before therefore outweighs entries that are not newer.
package listing
