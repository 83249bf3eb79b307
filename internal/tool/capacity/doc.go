// Package capacity measures what one router's control work costs as the fleet
// grows, on the real state machines, and works out the figures at target size.
//
// Each part is measured at sizes N, 2N, 4N and 8N, in proportion to the
// target; the figure at target size follows from the line through the first
// and the last. Processor times are wall-clock times of Step calls on the
// machine that measures; bytes and messages are the same in every run.
package capacity
