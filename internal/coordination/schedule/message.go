package schedule

import (
	"time"

	"hyssopreach/internal/state/view"
)

// GrantID identifies a grant. The dispatchers of each router count up from a
// random number, so that no two routers are likely to use the same number.
type GrantID uint64

// QueueKey identifies a queue of waiting requests that a dispatcher treats as
// interchangeable: one organisation's requests for one model.
type QueueKey struct {
	Organisation string
	// Model is empty for a plain service.
	Model string
	// Exclusive is set for a queue of requests suspected of crashing
	// endpoints.
	Exclusive bool
}

// Bid informs an endpoint's dispatcher that requests of a queue wait at the
// sender. It states the sender's complete demand, so a newer bid for the same
// endpoint and queue replaces an older one.
type Bid struct {
	Endpoint view.EndpointID
	Queue    QueueKey
	// Waiting is the number of waiting requests; zero withdraws the bid.
	Waiting int
	// Received is the number of grants that the sender has received for this
	// endpoint and queue. The dispatcher subtracts grants that are still in
	// transit from Waiting.
	Received uint64
	// Resync requests that the dispatcher treat grants in transit as lost.
	Resync bool
	// Urgency is the highest urgency of a request in the queue.
	Urgency int
	// Tag is the organisation's service counter as known to the sender, in
	// units of service per unit of weight.
	Tag float64
	// Rate is the rate at which the organisation receives service, in the unit
	// of Tag per second.
	Rate float64
	// Reserve is the service that the sender will reserve for each request
	// that it starts, in the unit of Tag.
	Reserve float64
}

// Grant gives the receiver one slot of an endpoint for a request of a queue.
type Grant struct {
	Grant    GrantID
	Endpoint view.EndpointID
	Queue    QueueKey
	// Deadline is the instant after which the dispatcher may grant the slot
	// again unless the receiver has renewed the grant.
	Deadline time.Time
	// Virtual is the organisation's service counter before this grant.
	Virtual float64
}

// Return releases a granted slot, either unused or after its request has
// ended.
type Return struct {
	Grant      GrantID
	Endpoint   view.EndpointID
	Queue      QueueKey
	Result     Result
	Elapsed    time.Duration
	FirstToken time.Duration
	// Tag is the organisation's service counter as known to the sender, and
	// Rate the service that the organisation receives per second.
	Tag, Rate float64
}

// Renewal lists all grants that the sender uses at an endpoint. Grants that
// the sender received earlier and that are not listed have ended.
type Renewal struct {
	Endpoint view.EndpointID
	Running  []Running
}

// Running is a grant in use.
type Running struct {
	Grant GrantID
	Queue QueueKey
	// FirstToken is the time to first token: the time that the endpoint took
	// to begin the answer. It is zero until the answer has begun.
	FirstToken time.Duration
}

// Report informs the holder of a pool's accounts how much service
// organisations have received through the sender.
type Report struct {
	Pool string
	// Incarnation distinguishes restarts of the sender: its totals restart at
	// zero each time.
	Incarnation uint64
	Charges     []Charge
	// Virtual is the lowest service counter that the sender's dispatchers have
	// recently served; zero means that they served none.
	Virtual float64
	// Floor is the lowest service counter that the sender considers plausible.
	// An account below it is so far behind the most advanced account that its
	// earlier value must have been lost.
	Floor float64
}

// Charge is the entry of one organisation in a Report.
type Charge struct {
	Organisation string
	// Total is the service received through the sender since its start, in
	// units of service per unit of weight. It never decreases, so a lost or
	// repeated report does no harm.
	Total float64
	// Settled is the service received through all routers as last stated by
	// the holder, and Acknowledged the part of Total that it includes.
	Settled, Acknowledged float64
	// Reserved is the service reserved for requests in flight through the
	// sender.
	Reserved float64
	// Waiting reports whether requests of the organisation wait at the sender.
	Waiting bool
}

// Tags answers a Report with the current state of the accounts.
type Tags struct {
	Pool     string
	Accounts []Account
	// Virtual is the pool's virtual time, in units of service per unit of
	// weight: approximately the lowest service counter that is being served.
	Virtual float64
	// Floor has the meaning of Report.Floor.
	Floor float64
}

// Account is the entry of one organisation in Tags.
type Account struct {
	Organisation string
	// Settled is the service received through all routers, and Total the part
	// of it received through the router that Tags is sent to.
	Settled, Total float64
	// OthersReserved is the service reserved for requests in flight through
	// other routers.
	OthersReserved float64
	// OthersWait reports whether requests wait at other routers.
	OthersWait bool
	// Lifted is the part of Settled that the holder added to raise the account
	// to the Floor, and that does not stand for service. An account below the
	// Floor is so far behind that its earlier value must have been lost.
	Lifted float64
}

// Counters updates dispatchers on the service counters of organisations that
// have bids there.
type Counters struct {
	Pool     string
	Counters []Counter
}

// Counter is one organisation's service counter as known to the sender, in
// units of service per unit of weight, and its growth per second.
type Counter struct {
	Organisation string
	Tag, Rate    float64
}

// Shortage announces a shortage of bids: an endpoint has free slots and no bids
// for them.
type Shortage struct {
	Endpoint view.EndpointID
	// FreeSlots is the number of free slots.
	FreeSlots int
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

// Pulse informs other routers of the load that the sender has placed on
// endpoints and of the work that organisations request from it. It replaces
// the sender's previous Pulse.
type Pulse struct {
	Endpoints     []EndpointLoad
	Organisations []OrganisationUse
	// Busy is the part of the sender's processor time that is in use, 0 to 1; more
	// if it refuses requests for lack of it. Zero if the sender does not state it.
	Busy float64
}

// EndpointLoad is the load that one router has placed on an endpoint.
type EndpointLoad struct {
	Endpoint view.EndpointID
	// Requests is the number of requests in flight.
	Requests int
	// Backlog is the number of prompt tokens of these requests that the
	// endpoint has not processed yet, and Memory the number of cache tokens
	// that the requests will occupy when they end.
	Backlog int64
	Memory  int64
	// Samples are those that the sender has taken since its last Pulse.
	Samples Samples
}

// Samples are samples of Progress.EventInterval and Progress.LongestGap, of which
// they hold the means.
type Samples struct {
	Count                     int
	EventInterval, LongestGap time.Duration
}

// OrganisationUse is the work that an organisation requests from one router
// and receives through it, in tokens per second.
type OrganisationUse struct {
	Organisation string
	Requested    float64
	Received     float64
	// Unserved is the part of Requested that was lately refused or rejected for
	// lack of capacity or of processor time.
	Unserved float64
}

// SchedulerMessage marks a Pulse as a Message.
func (*Pulse) SchedulerMessage() {}
