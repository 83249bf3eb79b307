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
type QueueKey struct {
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
	Queue    QueueKey
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
	// Rate is the service that the organisation receives, in the same unit a
	// second.
	Rate float64
	// Reserve is what the sender will set aside for each request that it
	// starts, in the same unit.
	Reserve float64
}

// Grant gives the receiver one slot of an endpoint for a line.
type Grant struct {
	Grant    GrantID
	Endpoint view.EndpointID
	Queue    QueueKey
	// Deadline is the instant after which the slot may be given to others
	// unless the receiver has renewed the grant.
	Deadline time.Time
	// Virtual is the organisation's counter before this grant.
	Virtual float64
}

// Return gives a slot back: unused, or after the work has ended.
type Return struct {
	Grant      GrantID
	Endpoint   view.EndpointID
	Queue      QueueKey
	Result     Result
	Elapsed    time.Duration
	FirstToken time.Duration
	// Tag is the organisation's counter as the sender knows it, and Rate the
	// service that it receives a second.
	Tag, Rate float64
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
	Queue QueueKey
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
	// Floor is the counter below which the sender takes no account to be: what
	// is further behind the furthest has been lost.
	Floor float64
}

// Charge is one organisation's line in a Report.
type Charge struct {
	Organisation string
	// Total is the service received through the sender since its start, in
	// units of service per unit of weight. It never falls, so that a report
	// can be lost or repeated without harm.
	Total float64
	// Settled is what the holder gave last as received through all routers,
	// and Acknowledged the part of Total that it contains.
	Settled, Acknowledged float64
	// Reserved is set aside for what runs through the sender.
	Reserved float64
	// Waiting says that requests of the organisation wait at the sender.
	Waiting bool
}

// Tags answers a Report with the accounts as their holder sees them.
type Tags struct {
	Pool     string
	Accounts []Account
	// Virtual is the pool's virtual time, in units of service per unit of
	// weight: about the least counter that is being served.
	Virtual float64
	// Floor is as in Report.
	Floor float64
}

// Account is one organisation's line in Tags.
type Account struct {
	Organisation string
	// Settled is the service received through all routers, and Total the part
	// of it that came through the receiver.
	Settled, Total float64
	// OthersReserved is set aside for what runs through other routers.
	OthersReserved float64
	// OthersWait says that work waits at other routers.
	OthersWait bool
	// Lifted is the part of Settled that nobody has received: the holder found
	// the account so far behind that it must have been lost.
	Lifted float64
}

// Counters tells dispatchers what has become of the counters of organisations
// that bid there.
type Counters struct {
	Pool     string
	Counters []Counter
}

// Counter is one organisation's counter as the sender knows it, in units of
// service per unit of weight, and the rate at which it grows a second.
type Counter struct {
	Organisation string
	Tag, Rate    float64
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

// SchedulerMessage marks Counters as a Message.
func (*Counters) SchedulerMessage() {}

// SchedulerMessage marks a Shortage as a Message.
func (*Shortage) SchedulerMessage() {}

// Pulse tells other routers what the sender keeps at the endpoints and what
// organisations ask of it. It replaces the sender's earlier one.
type Pulse struct {
	Endpoints     []EndpointLoad
	Organisations []OrganisationUse
}

// EndpointLoad is what one router keeps at an endpoint.
type EndpointLoad struct {
	Endpoint view.EndpointID
	Requests int
	// Backlog is what the endpoint has yet to read of the requests' prompts,
	// and Memory what they will hold in the end, in tokens.
	Backlog int64
	Memory  int64
}

// OrganisationUse is what an organisation asks of one router and receives, in
// tokens per second.
type OrganisationUse struct {
	Organisation string
	Asked        float64
	Received     float64
}

// SchedulerMessage marks a message between schedulers.
func (*Pulse) SchedulerMessage() {}
