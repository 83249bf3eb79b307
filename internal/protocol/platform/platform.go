package platform

import (
	"net/netip"
	"time"
)

// The paths of the platform's services. Streams of the log are named in the
// path: "/streams/{Stream}/records".
const (
	PathVMs       = "/vms"
	PathAppend    = "/streams/{Stream}/records"
	PathLoad      = "/load"
	PathEvents    = "/cache/events"
	PathOrders    = "/orders"
	PathReserve   = "/reservations"
	PathInstance  = "/instance"
	PathCancel    = "/requests/{RequestID}"
	QueryFrom     = "from"
	QueryWait     = "wait"
	HeaderRequest = "X-Request-ID"
)

// AppendRequest appends records to a stream of the log in one batch; either
// all of them get offsets, next to each other, or none does.
type AppendRequest struct {
	Records [][]byte
}

// AppendResponse gives the offset of the first record of the batch.
type AppendResponse struct {
	FirstOffset uint64
}

// Record is a record of the log.
type Record struct {
	Offset   uint64
	Appended time.Time
	Payload  []byte
}

// ReadResponse answers a read from an offset. When the wanted offset is gone,
// the status is 410 and Oldest tells where reading can begin.
type ReadResponse struct {
	Records []Record
	// Oldest is the lowest offset still kept.
	Oldest uint64
	// Next is the offset that the next appended record will get.
	Next uint64
}

// VM is a line of the VM list.
type VM struct {
	Name          string
	FailureDomain string
	Address       netip.Addr
	Leaving       bool
	// Started distinguishes two VMs that got the same name or address.
	Started time.Time
}

// VMList is the platform's list of VMs.
type VMList struct {
	// Version grows with each change, so that an old copy can be told.
	Version uint64
	// AsOf is the instant at which the list was true; it lags.
	AsOf time.Time
	VMs  []VM
}

// Instance is what an endpoint says of itself when asked.
type Instance struct {
	Name string
	// Started is the endpoint's start, which is part of its identity.
	Started time.Time
	// Leaving is set when the endpoint itself knows that it will stop.
	Leaving bool
}

// Load is an engine's report of itself; it lags behind the truth.
type Load struct {
	Instance
	MeasuredAt  time.Time
	Running     int
	Queued      int
	MemoryUsed  float64
	Models      []LoadedModel
	LastFencing uint64
}

// LoadedModel is a model that an engine holds, with its adapters.
type LoadedModel struct {
	Name     string
	Version  string
	Adapters []string
}

// CacheEvent says that a prompt prefix was stored in or evicted from an
// engine's cache. A gap in Sequence means that events were lost.
type CacheEvent struct {
	Sequence uint64
	Prefix   uint64
	Evicted  bool
	At       time.Time
}

// Order tells an engine which models to hold. It states the wanted end, so
// applying it twice changes nothing.
type Order struct {
	// Fencing is the offset of the lease under which the order was given.
	Fencing uint64
	Models  []LoadedModel
}

// ReserveRequest asks the weight store for bytes of its rate.
type ReserveRequest struct {
	Model string
	Bytes int64
}

// ReserveResponse tells when the reserved transfer may begin.
type ReserveResponse struct {
	StartAt time.Time
}
