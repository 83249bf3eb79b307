// Package listing decides which endpoints exist from the lists that the
// platform's store gives.
//
// Endpoints renew their entries there. While the store is away entries may
// lapse although their endpoints live, so an endpoint that is missing after an
// outage is kept for the time in which entries come back. At all other times
// one that is missing has gone.
package listing
