package router

import (
	"errors"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"hyssopreach/internal/coordination/evacuation"
	wire "hyssopreach/internal/protocol/peer"
	"hyssopreach/internal/state/view"
	"hyssopreach/internal/transport/clock"
)

const (
	// MetricEvacuatedDomains is the number of failure domains that are evacuated as far
	// as this router knows.
	MetricEvacuatedDomains = "EvacuatedDomains"
	// evacuationMargin is the time for the way of an attempt to its endpoint.
	evacuationMargin = 300 * time.Millisecond
)

var errEvacuationsUnknown = errors.New("apply the first configuration: it is not known yet which failure domains are evacuated")

// evacuates reports whether operators can evacuate failure domains.
func (h *HostedOptions) evacuates() bool { return h.EvacuateWithin > 0 }

// evacuateFor returns the age up to which a reading of the evacuations may be used by a
// router that could have a newer one.
func (h *HostedOptions) evacuateFor() time.Duration { return h.EvacuateWithin - evacuationMargin }

func newEvacuations(h *HostedOptions) *evacuation.Table {
	if !h.evacuates() {
		return nil
	}
	return evacuation.New(h.Listing.RelistTime)
}

// applyEvacuated merges the evacuated domains of a reading. It is called before the
// configuration of the same reading is put in force, and also where that can't be decoded or
// is older than the one in force. It returns an error if the reading is from before the
// store was restored.
func (s *sources) applyEvacuated(domains []string, r readResult, from view.RouterID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.evacuations == nil {
		return nil
	}
	next := *s.current.Load()
	if err := s.observeEpoch(&next, r, from); err != nil {
		return err
	}
	changes := s.evacuations.Observe(evacuation.Reading{Domains: domains, At: r.at.Time()})
	if r.at.After(next.evacuatedAt) {
		next.evacuatedAt = r.at
	}
	s.setEvacuated(&next, changes, r, from)
	s.current.Store(&next)
	return nil
}

// setEvacuated publishes and logs changes of the evacuations. It requires that mu is held.
func (s *sources) setEvacuated(next *readings, changes []evacuation.Change, r readResult, from view.RouterID) {
	if len(changes) == 0 {
		return
	}
	next.evacuated = s.evacuations.Domains()
	s.router.fleet.setEvacuated(next.evacuated)
	metrics.GetOrRegisterGauge(MetricEvacuatedDomains, s.router.options.Registry).Update(int64(len(next.evacuated)))
	source := "Store"
	if from != "" {
		source = "Peer"
	}
	v := s.router.fleet.View()
	for _, c := range changes {
		endpoints := 0
		for i := range v.Endpoints {
			if v.Endpoints[i].FailureDomain == c.Domain {
				endpoints++
			}
		}
		event := "DomainReturned"
		if c.Evacuated {
			event = "DomainEvacuated"
		}
		s.logger.WithFields(log.Fields{
			"Domain": c.Domain, "Age": clock.Now().Sub(r.at).Round(time.Millisecond), "Source": source, "Peer": from, "Epoch": next.epoch,
			"Endpoints": endpoints,
		}).Info(event)
	}
}

// restoreEvacuations tells the table of evacuations that the store was restored. It
// requires that mu is held.
func (s *sources) restoreEvacuations(next *readings, r readResult, from view.RouterID) {
	if s.evacuations != nil && !next.restoredAt.IsZero() {
		s.setEvacuated(next, s.evacuations.Restored(next.restoredAt.Time()), r, from)
	}
}

// learnEvacuated merges the evacuated domains that another router states. The reading
// retains the instant at which the store was asked. It returns their age; false if the
// router states none, since it is of an earlier release or its settings don't name the
// bound.
func (s *sources) learnEvacuated(answer *wire.Confirmation, sentAt, restoredAt clock.Instant, from view.RouterID) (age time.Duration, stated bool, err error) {
	if answer.GetEvacuatedAgeMillis() == 0 {
		return 0, false, nil
	}
	age = time.Duration(min(answer.GetEvacuatedAgeMillis(), uint64(unconfirmedAge/time.Millisecond))) * time.Millisecond
	at := sentAt.Add(-age)
	if earliest := (clock.Instant{}).Add(1); earliest.After(at) {
		// The VM of this router has started since, and the zero Instant stands for none.
		at = earliest
	}
	err = s.applyEvacuated(answer.GetEvacuated(), readResult{at: at, epoch: answer.GetEpoch(), restoredAt: restoredAt}, from)
	return age, true, err
}

// addEvacuated adds to an answer the evacuations that this router knows.
func (r *readings) addEvacuated(answer *wire.Confirmation, now clock.Instant) {
	if !r.evacuatedAt.IsZero() {
		answer.Evacuated, answer.EvacuatedAgeMillis = r.evacuated, ageMillis(now, r.evacuatedAt)
	}
}

// evacuationsUsable reports whether attempts may be sent now by the evacuations that this
// router knows. It is false if they are old because this router runs late; while
// neither the store nor another router answers, the last ones remain in use.
func (s *sources) evacuationsUsable(now clock.Instant, maxAge time.Duration) bool {
	if !s.router.options.evacuates() {
		return true
	}
	return now.Sub(s.current.Load().evacuatedAt)+s.router.lateness.Recent() <= maxAge || !s.runsLate()
}
