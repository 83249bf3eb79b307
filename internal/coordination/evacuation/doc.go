// Package evacuation determines which failure domains operators have evacuated: the
// endpoints of such a domain must get no new requests.
//
// The records of evacuations are read from the platform's store together with the
// configuration, and routers relay what they have read. A Table merges these readings
// by the instant at which the store was asked: the newest reading counts as a whole, so
// an old or delayed one changes nothing.
//
// The store may be restored from an older copy of itself, which lacks the latest records
// until operators have written them again. For a limited time, readings therefore add
// domains and remove none.
//
// Invariants:
//   - What a Table states is never older than the newest reading that it has observed.
//   - A domain known when the store was restored remains evacuated for the hold time.
//   - A record that can't be read evacuates its domain.
//   - There are at most MaxDomains domains, sorted, with valid names.
package evacuation
