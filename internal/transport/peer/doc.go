// Package peer carries messages between routers over drpc.
//
// Links delivers control messages without acknowledgement: messages wait in a
// bounded queue per peer and leave in one envelope as soon as the envelope
// before has been written, so that batches grow with the load and an idle link
// adds no delay. A message that finds the queue full, or whose connection
// breaks, is lost; the state machines on both sides allow for that.
//
// Every byte that leaves is counted here, by kind of message.
package peer
