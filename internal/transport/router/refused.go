package router

import (
	"fmt"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"hyssopreach/internal/state/view"
)

// maxUnseenTime is how long before a refused configuration was first read the version in
// force must have been confirmed, for that configuration to be taken for its successor.
const maxUnseenTime = readInterval + maxRelayedAge

// refusedConfiguration is a configuration that this router could not decode.
type refusedConfiguration struct {
	hash uint64
	err  error
	// after is the version that was in force and confirmed shortly before the
	// configuration was first read from the store; zero if there was none.
	after uint64
	// relayed is set once another router, which can decode the configuration, has sent
	// it.
	relayed bool
}

// isNew reports whether the data of a reading is not the configuration in force. A
// record of the store without data is none, while a router sends no data to confirm what
// the other one has.
func (r *readings) isNew(data []byte, from view.RouterID) bool {
	if len(data) == 0 {
		return from == ""
	}
	return string(data) != string(r.configuration.data)
}

// refuseConfiguration leaves the configuration in force as it is. As long as the store
// holds a refused configuration that came right after the version in force, a reading of
// it confirms that version: there is no newer one that any router can decode. Otherwise it
// returns an error.
func (s *sources) refuseConfiguration(next *readings, r readResult, from view.RouterID, cause error) error {
	hash := xxhash.Sum64(r.data)
	refused := refusedConfiguration{hash: hash, err: cause}
	known := next.refused.err != nil && next.refused.hash == hash
	if known {
		refused = next.refused
	} else {
		s.logger.WithFields(log.Fields{
			"InForce": next.version, "From": from, "Bytes": len(r.data), "Hash": hash, "Error": cause,
		}).Warn("ConfigurationRefused")
		if from == "" && r.at.Sub(next.configuration.at) <= maxUnseenTime && next.epoch == next.versionEpoch {
			refused.after = next.version
		}
	}
	refused.relayed = refused.relayed || from != ""
	next.refused = refused
	confirms := from == "" && !refused.relayed && refused.after != 0 && refused.after == next.version && next.epoch == next.versionEpoch
	if confirms && r.at.After(next.configuration.at) {
		next.configuration.at = r.at
	}
	s.current.Store(next)
	if confirms {
		return nil
	}
	return fmt.Errorf("refuse a configuration, version %d stays in force: %w", next.version, cause)
}
