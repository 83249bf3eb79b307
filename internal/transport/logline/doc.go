// Package logline writes log lines behind the work that they tell of, so that
// no request waits for the log.
//
// Lines are written in order and none is dropped: when the buffer is full, the
// next line waits for it. A process that is killed loses the lines of the last
// flush interval; one that calls Close before it ends loses none.
package logline
