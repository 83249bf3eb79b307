// Package placement decides which models stand on which engines.
//
// One Planner per pool and router follows the stream of leases. The router that
// owns the pool takes the lease; its planner then compares the engines'
// reports with the demand and gives orders. An order states all that an engine
// is to hold, so giving it twice changes nothing, and it carries the offset of
// the lease as its fencing number.
//
// Safety does not rest on the lease alone. A planner gives no order after the
// end of its lease by its own clock, counted from before it asked. Engines that
// check fencing numbers refuse what is older. For those that do not, a new
// holder waits until the last order of the one before must have arrived, and
// then goes by what the engines report, so that a late order is put right in
// the next round.
//
// The last copy of a model that has work is never unloaded, not even for a
// newer version of it.
package placement
