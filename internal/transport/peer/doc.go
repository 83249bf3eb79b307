// Package peer carries messages between routers over drpc.
//
// Links sends control messages without acknowledgement. Messages wait in a
// bounded queue per peer; all that are queued, up to a limit, leave in one
// envelope as soon as the previous envelope has been written. Batches therefore
// grow with the load, and an idle link adds no delay. A message is lost if its
// queue is full or its connection breaks; the state machines on both sides
// tolerate that.
//
// Every byte sent is counted, and every control message by its kind.
package peer
