package platform

import (
	"net/netip"
	"time"
)

// The paths, query parameters and header fields of the platform's services. The
// path of a log's records contains the name of the stream.
const (
	PathVMs          = "/vms"
	PathRecords      = "/streams/{Stream}/records"
	PathLoad         = "/load"
	PathCacheEvents  = "/cache/events"
	PathOrders       = "/orders"
	PathReservations = "/reservations"
	PathInstance     = "/instance"
	PathCancel       = "/requests/{RequestID}"
	QueryFrom        = "from"
	QueryWait        = "wait"
	HeaderRequestID  = "X-Request-ID"
)

// AppendRequest appends records to a stream of the log in one batch. Either all
// of the records get consecutive offsets, or none is appended.
type AppendRequest struct {
	Records [][]byte
}

// AppendResponse is the response to an AppendRequest.
type AppendResponse struct {
	// FirstOffset is the offset of the first record of the batch.
	FirstOffset uint64
}

// Record is a record of the log.
type Record struct {
	Offset   uint64
	Appended time.Time
	Payload  []byte
}

// ReadResponse is the response to a read from an offset. If the log no longer
// retains that offset, the status is 410 and Oldest is the lowest offset to read
// from.
type ReadResponse struct {
	Records []Record
	// Oldest is the lowest offset that the log retains.
	Oldest uint64
	// Next is the offset that the next appended record will get.
	Next uint64
}

// VM is an entry of the VM list.
type VM struct {
	Name          string
	FailureDomain string
	Address       netip.Addr
	Leaving       bool
	// Started distinguishes VMs that have had the same name or address.
	Started time.Time
}

// VMList is the platform's list of VMs.
type VMList struct {
	// Version grows with each change, so that an outdated copy can be detected.
	Version uint64
	// AsOf is the instant at which the list was current. It lies in the past,
	// because the list lags.
	AsOf time.Time
	VMs  []VM
}

// Instance is an endpoint's description of itself.
type Instance struct {
	Name string
	// Started is the endpoint's start, which is part of its identity.
	Started time.Time
	// Leaving is set if the endpoint knows that it will stop.
	Leaving bool
}

// Load is an engine's report of its load. The report lags.
type Load struct {
	Instance
	MeasuredAt time.Time
	Running    int
	Queued     int
	// MemoryUsed is the used fraction of the key-value cache, 0 to 1.
	MemoryUsed float64
	Models     []LoadedModel
	// LastFencing is the highest Fencing of the orders that the engine has
	// accepted since it started.
	LastFencing uint64
}

// LoadedModel is a model that an engine has loaded, with its adapters.
type LoadedModel struct {
	Name     string
	Version  string
	Adapters []string
}

// CacheEvent reports that a prompt prefix was stored in or evicted from an
// engine's cache. A gap in Sequence means that events were lost.
type CacheEvent struct {
	Sequence uint64
	Prefix   uint64
	Evicted  bool
	At       time.Time
}

// Order tells an engine which models to load and keep loaded. It states the
// complete desired set, so applying an order twice changes nothing.
type Order struct {
	// Fencing is the offset in the log of the lease under which the order was
	// given. An engine that checks fencing rejects orders under older leases.
	Fencing uint64
	Models  []LoadedModel
}

// ReserveRequest reserves a transfer of the given number of bytes from the weight
// store, whose rate all transfers share.
type ReserveRequest struct {
	Model string
	Bytes int64
}

// ReserveResponse is the response to a ReserveRequest.
type ReserveResponse struct {
	// StartAt is the instant from which the transfer may begin.
	StartAt time.Time
}
