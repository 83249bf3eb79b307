package claims

import (
	"time"

	"hyssopreach/internal/state/claim"
)

// stream is one stream of the fake log.
type stream struct {
	records []claim.Record
	next    uint64
	waiters []func()
}

// fakeLog is an append-only log with offsets, retention and outages.
type fakeLog struct {
	w         *world
	streams   [claim.Ranges]stream
	downUntil time.Time
	slowUntil time.Time
	appends   int
}

// append adds a batch; reply gets the offset, or false when the fate of the
// append is unknown to the caller.
func (l *fakeLog) append(keyRange int, b claim.Batch, reply func(uint64, bool)) {
	l.appends++
	f := &l.w.faults
	delay := l.w.spread(logDelay)
	if l.w.clock.now.Before(l.slowUntil) {
		delay = l.w.upTo(2 * appendTimeout)
	}
	switch {
	case l.w.clock.now.Before(l.downUntil):
		l.w.clock.after(appendTimeout, func() { reply(0, false) })
	case l.w.chance(f.appendLate):
		l.w.clock.after(l.w.upTo(lateMost), func() { l.land(keyRange, b) })
		l.w.clock.after(appendTimeout, func() { reply(0, false) })
	case l.w.chance(f.appendLost) || delay > appendTimeout:
		l.w.clock.after(delay, func() { l.land(keyRange, b) })
		l.w.clock.after(appendTimeout, func() { reply(0, false) })
	default:
		l.w.clock.after(delay/2, func() {
			offset := l.land(keyRange, b)
			l.w.clock.after(delay/2, func() { reply(offset, true) })
		})
	}
}

func (l *fakeLog) land(keyRange int, b claim.Batch) uint64 {
	s := &l.streams[keyRange]
	offset := s.next
	s.records = append(s.records, claim.Record{Offset: offset, Appended: l.w.clock.now, Batch: b})
	s.next++
	waiters := s.waiters
	s.waiters = nil
	for _, wake := range waiters {
		l.w.clock.after(0, wake)
	}
	return offset
}

// readReply is what a read brings.
type readReply struct {
	records []claim.Record
	next    uint64
	oldest  uint64
	gone    bool
	failed  bool
}

func (l *fakeLog) read(keyRange int, from uint64, wait bool, reply func(readReply)) {
	if l.w.clock.now.Before(l.downUntil) || l.w.chance(l.w.faults.readFailed) {
		l.w.clock.after(l.w.spread(logDelay), func() { reply(readReply{failed: true}) })
		return
	}
	s := &l.streams[keyRange]
	if wait && from >= s.next {
		done := false
		once := func() {
			if !done {
				done = true
				l.answer(keyRange, from, reply)
			}
		}
		s.waiters = append(s.waiters, once)
		l.w.clock.after(readWait, once)
		return
	}
	l.w.clock.after(l.w.spread(logDelay)/2, func() { l.answer(keyRange, from, reply) })
}

func (l *fakeLog) answer(keyRange int, from uint64, reply func(readReply)) {
	s := &l.streams[keyRange]
	l.forget(s)
	oldest := s.next - uint64(len(s.records))
	r := readReply{next: s.next, oldest: oldest}
	if from < oldest {
		r.gone = true
	} else if from < s.next {
		r.records = s.records[from-oldest:]
		r.records = r.records[:min(len(r.records), 1000)]
	}
	l.w.clock.after(l.w.spread(logDelay)/2, func() { reply(r) })
}

// forget drops the records that are past the retention.
func (l *fakeLog) forget(s *stream) {
	limit := l.w.clock.now.Add(-l.w.options.Retention)
	n := 0
	for n < len(s.records) && s.records[n].Appended.Before(limit) {
		n++
	}
	s.records = s.records[n:]
}
