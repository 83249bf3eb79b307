// Package logline writes log lines asynchronously, so that no request waits for
// the log.
//
// Lines are written in order. While the output blocks, the buffer fills up; once
// it is full, whole writes are dropped and counted, and a log line with the count
// follows as soon as the output accepts data again. A process that is killed
// loses the lines of the last flush interval. A process that calls Close before
// it exits loses no line that was buffered, unless the output blocks until
// Close times out.
package logline
