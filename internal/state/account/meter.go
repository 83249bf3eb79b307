package account

// Meter is what one router knows of one organisation in one pool.
type Meter struct {
	total        float64
	credit       float64
	tag          float64
	acknowledged float64
}

// Charge books an amount, using up earlier refunds first.
func (m *Meter) Charge(amount float64) {
	used := min(m.credit, amount)
	m.credit -= used
	m.total += amount - used
}

// Refund gives back a part of an earlier charge. The total stays, so that it
// never falls; later charges use the refund up.
func (m *Meter) Refund(amount float64) { m.credit += amount }

// Total is everything charged since the router's start.
func (m *Meter) Total() float64 { return m.total }

// Acknowledged is the part of Total that HolderTag contains.
func (m *Meter) Acknowledged() float64 { return m.acknowledged }

// HolderTag is the counter that the account's holder gave last.
func (m *Meter) HolderTag() float64 { return m.tag }

// Tag is the organisation's counter: the holder's and what was charged here
// since, less refunds that are not used up.
func (m *Meter) Tag() float64 {
	return max(0, m.tag+m.total-m.acknowledged-m.credit)
}

// Acknowledge takes the holder's answer to a report. The counter never falls:
// an answer that is older than what the meter knows changes nothing.
func (m *Meter) Acknowledge(tag, total float64) {
	if total > m.total || tag-total < m.tag-m.acknowledged {
		return
	}
	m.tag, m.acknowledged = tag, total
}
