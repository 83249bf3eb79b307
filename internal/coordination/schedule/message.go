package schedule

import (
	"time"

	"hyssopreach/internal/state/view"
)

// GrantID names a grant. It is drawn so that two dispatchers never give the
// same number.
type GrantID uint64

// Line is a set of waiting requests that are interchangeable for a dispatcher:
// one organisation's requests for one model.
type Line struct {
	Organisation string
	// Model is empty for a plain service.
	Model string
	// Exclusive lines hold requests suspected of crashing endpoints.
	Exclusive bool
}

// Bid tells an endpoint's dispatcher that a line waits at the sender. It
// states the whole of what the sender wants, so a newer bid for the same
// endpoint and line replaces an older one.
type Bid struct {
	Endpoint view.EndpointID
	Line     Line
	// Waiting is the number of requests that wait; zero withdraws the bid.
	Waiting int
	// Received is the number of grants that the sender has had from this
	// endpoint for this line. The dispatcher subtracts the grants that are
	// still on their way from Waiting.
	Received uint64
	// Resync asks the dispatcher to forget grants on their way: they are
	// taken for lost.
	Resync bool
	// Urgency is the highest urgency in the line.
	Urgency int
	// Tag is the organisation's counter as the sender knows it, in units of
	// service per unit of weight.
	Tag float64
	// Estimate is the expected charge of one request, in the same unit.
	Estimate float64
}

// Grant gives the receiver one slot of an endpoint for a line.
type Grant struct {
	Grant    GrantID
	Endpoint view.EndpointID
	Line     Line
	// Deadline is the instant after which the slot may be given to others
	// unless the receiver has renewed the grant.
	Deadline time.Time
	// Virtual is the organisation's counter before this grant.
	Virtual float64
}

// Return gives a slot back: unused, or after the work has ended.
type Return struct {
	Grant    GrantID
	Endpoint view.EndpointID
	Line     Line
	Result   Result
	// Service is the whole charge of the request, in units of service per
	// unit of weight.
	Service    float64
	Elapsed    time.Duration
	FirstToken time.Duration
	// Tag is the organisation's counter as the sender knows it.
	Tag float64
}

// Renewal lists everything that the sender runs at an endpoint. Grants that
// the sender was given earlier and that are missing have ended.
type Renewal struct {
	Endpoint view.EndpointID
	Running  []Running
}

// Running is a grant in use.
type Running struct {
	Grant GrantID
	Line  Line
	// Estimate is the charge booked for the grant, in units of service per
	// unit of weight.
	Estimate float64
	// FirstToken is the time that the endpoint took to begin the answer;
	// zero until it has begun.
	FirstToken time.Duration
}

// Report tells the holder of a pool's accounts what organisations have
// received through the sender.
type Report struct {
	Pool string
	// Incarnation tells two starts of the sender apart: totals begin again at
	// zero with each start.
	Incarnation uint64
	Charges     []Charge
	// Virtual is the least counter that the sender's dispatchers have lately
	// served; zero means that they served none.
	Virtual float64
}

// Charge is one organisation's line in a Report or in Tags.
type Charge struct {
	Organisation string
	// Total is the charge through the router since its start, in units of
	// service per unit of weight. It never falls, so that a report can be
	// lost or repeated without harm. In Tags it is the total that the holder
	// has taken in.
	Total float64
	// Acknowledged is the part of Total that Tag already contains.
	Acknowledged float64
	// Tag is the organisation's counter as the holder gave it last.
	Tag float64
	// Waiting says that requests of the organisation wait at the sender.
	Waiting bool
}

// Tags answers a Report with the accounts as their holder sees them.
type Tags struct {
	Pool    string
	Charges []Charge
	// Virtual is the pool's virtual time, in units of service per unit of
	// weight: about the least counter that is being served.
	Virtual float64
}

// Shortage tells that an endpoint has room and no bids.
type Shortage struct {
	Endpoint view.EndpointID
	// Room is the number of free slots.
	Room int
}

// SchedulerMessage marks a Bid as a Message.
func (*Bid) SchedulerMessage() {}

// SchedulerMessage marks a Grant as a Message.
func (*Grant) SchedulerMessage() {}

// SchedulerMessage marks a Return as a Message.
func (*Return) SchedulerMessage() {}

// SchedulerMessage marks a Renewal as a Message.
func (*Renewal) SchedulerMessage() {}

// SchedulerMessage marks a Report as a Message.
func (*Report) SchedulerMessage() {}

// SchedulerMessage marks Tags as a Message.
func (*Tags) SchedulerMessage() {}

// SchedulerMessage marks a Shortage as a Message.
func (*Shortage) SchedulerMessage() {}
