// Package rehearsal simulates the network failures that the operators' text, the
// configuration of the fleet, schedules.
//
// A rehearsal cuts off a failure domain, a router or an endpoint from everything
// else. A FaultNetwork wraps the network of a router and behaves like a
// partitioned network for the affected connections: dials time out, established
// connections transfer nothing, and dialled connections that are cut for
// SilenceTimeout break. Connections survive a shorter cut, as TCP connections do:
// what was written during the cut is delivered, and what arrived is read, once the
// cut ends. The rest of the router cannot distinguish a rehearsed failure from a
// real one.
//
// Every rehearsal ends at its Until by the local clock, even if no later text can
// be read.
package rehearsal
