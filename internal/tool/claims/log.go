package claims

import (
	"time"

	"hyssopreach/internal/state/claim"
)

// stream is one stream of the simulated log.
type stream struct {
	records []claim.Record
	next    uint64
	// waiters are the reads that wait for the next append.
	waiters []func()
}

// fakeLog is an in-memory append-only log with offsets, retention and outages.
type fakeLog struct {
	w         *world
	streams   [claim.Ranges]stream
	downUntil time.Time
	slowUntil time.Time
	appends   int
}

// append appends a batch to the stream of a key range. It calls reply with the
// offset of the record, or with false after appendTimeout, in which case the
// router does not know whether the batch has been or will be appended.
func (l *fakeLog) append(keyRange int, b claim.Batch, reply func(uint64, bool)) {
	l.appends++
	f := &l.w.faults
	delay := l.w.jitter(logDelay)
	if l.w.clock.now.Before(l.slowUntil) {
		delay = l.w.randomUpTo(2 * appendTimeout)
	}
	switch {
	case l.w.clock.now.Before(l.downUntil):
		l.w.clock.after(appendTimeout, func() { reply(0, false) })
	case l.w.chance(f.appendLate):
		l.w.clock.after(l.w.randomUpTo(maxLateAppend), func() { l.appendNow(keyRange, b) })
		l.w.clock.after(appendTimeout, func() { reply(0, false) })
	case l.w.chance(f.appendReplyLost) || delay > appendTimeout:
		l.w.clock.after(delay, func() { l.appendNow(keyRange, b) })
		l.w.clock.after(appendTimeout, func() { reply(0, false) })
	default:
		l.w.clock.after(delay/2, func() {
			offset := l.appendNow(keyRange, b)
			l.w.clock.after(delay/2, func() { reply(offset, true) })
		})
	}
}

// appendNow appends the batch at the present instant, wakes the waiting
// readers and returns the offset of the record.
func (l *fakeLog) appendNow(keyRange int, b claim.Batch) uint64 {
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

// readReply is the result of a read.
type readReply struct {
	records []claim.Record
	next    uint64
	oldest  uint64
	trimmed bool
	failed  bool
}

// read reads a stream from the given offset. If wait is set and the stream
// has no such record yet, it replies at the next append or after readWait.
func (l *fakeLog) read(keyRange int, from uint64, wait bool, reply func(readReply)) {
	if l.w.clock.now.Before(l.downUntil) || l.w.chance(l.w.faults.readFailed) {
		l.w.clock.after(l.w.jitter(logDelay), func() { reply(readReply{failed: true}) })
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
	l.w.clock.after(l.w.jitter(logDelay)/2, func() { l.answer(keyRange, from, reply) })
}

// answer replies to a read with up to 1000 records, or with trimmed set if the
// log no longer retains the requested record.
func (l *fakeLog) answer(keyRange int, from uint64, reply func(readReply)) {
	s := &l.streams[keyRange]
	l.trimExpired(s)
	oldest := s.next - uint64(len(s.records))
	r := readReply{next: s.next, oldest: oldest}
	if from < oldest {
		r.trimmed = true
	} else if from < s.next {
		r.records = s.records[from-oldest:]
		r.records = r.records[:min(len(r.records), 1000)]
	}
	l.w.clock.after(l.w.jitter(logDelay)/2, func() { reply(r) })
}

// trimExpired removes the records that are older than the retention period.
func (l *fakeLog) trimExpired(s *stream) {
	limit := l.w.clock.now.Add(-l.w.options.Retention)
	n := 0
	for n < len(s.records) && s.records[n].Appended.Before(limit) {
		n++
	}
	s.records = s.records[n:]
}
