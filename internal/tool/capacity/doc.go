// Package capacity measures the cost of one router's control work as the fleet
// grows, with the production state machines, and extrapolates it to the target
// size.
//
// Each part of the control work is measured at fleets of N, 2N, 4N and 8N
// routers, with endpoints and organisations in proportion to the target. The
// cost at target size lies on the line through the costs at N and 8N. Processor
// times are wall-clock times of the measured calls, such as Step, on the
// measuring machine; bytes and messages are the same in every run.
package capacity
