package suspect

import (
	"time"

	"hyssopreach/internal/state/view"
)

const (
	// servedLifetime is the time for which an answer on a part speaks for it, at least;
	// at most it is twice that.
	servedLifetime = time.Minute
	// maxServedParts bounds the parts of one generation. Parts that are served often are
	// in the next one again at once.
	maxServedParts = 8192
)

// servedParts counts the answers on parts within a while. Each answer outweighs one
// crash under the part: one that crashes all endpoints is hardly ever served. The
// counts are in two generations, the older of which is dropped when the newer one is
// old or full.
type servedParts struct {
	current, previous map[Fingerprint]*servedPart
	beganAt           time.Time // of current
}

type servedPart struct {
	count int
	// endpoint is the last one whose crash an answer has outweighed.
	endpoint view.EndpointID
}

func (s *servedParts) add(now time.Time, parts []Fingerprint) {
	s.expire(now)
	for _, f := range parts {
		p := s.current[f]
		if p == nil {
			if len(s.current) >= maxServedParts {
				s.previous, s.current, s.beganAt = s.current, nil, now
			}
			if s.current == nil {
				s.current = map[Fingerprint]*servedPart{}
			}
			p = &servedPart{}
			s.current[f] = p
		}
		p.count++
	}
}

// outweigh reports whether an answer on the part outweighs the crash of an endpoint,
// and uses it up. All attempts that broke off at a crash count as one.
func (s *servedParts) outweigh(now time.Time, f Fingerprint, id view.EndpointID) bool {
	s.expire(now)
	for _, generation := range []map[Fingerprint]*servedPart{s.previous, s.current} {
		p := generation[f]
		switch {
		case p == nil:
		case p.endpoint == id:
			return true
		case p.count > 0:
			p.count--
			p.endpoint = id
			return true
		}
	}
	return false
}

func (s *servedParts) expire(now time.Time) {
	switch age := now.Sub(s.beganAt); {
	case age >= 2*servedLifetime:
		s.previous, s.current, s.beganAt = nil, nil, now
	case age >= servedLifetime:
		s.previous, s.current, s.beganAt = s.current, nil, now
	}
}
