// Package placement decides which models are loaded on which engines.
//
// Each router has one Planner per pool. The planner on the router that owns the
// pool reads the log's stream of lease records and acquires the pool's lease. It
// then compares the engines' reports with the demand and with the operators'
// text, which is the fleet's configuration, and gives orders. An order lists all
// models that an engine is to hold, so repeating it has no effect, and carries
// the offset of the lease as its fencing number.
//
// Safety does not depend on the lease alone. A planner gives no order after the
// end of its lease by its own clock, counted from the instant before it asked
// for the lease. Engines that check fencing numbers refuse orders with an older
// one. For other engines, a new holder waits until the last order of the
// previous holder must have arrived, and then relies on the engines' reports,
// so that the next round corrects the effect of a late order.
//
// The last copy of a model that has work is never unloaded while the text lists
// the model, not even for a newer version of the model.
package placement
