// Package logline writes log lines behind the work that they tell of, so that
// no request waits for the log.
//
// Lines are written in order. While whoever reads the log does not take them,
// the buffer fills; then whole writes are dropped, counted, and told of in a
// line of their own as soon as there is room. A process that is killed loses
// the lines of the last flush interval; one that calls Close before it ends
// loses none that were kept.
package logline
