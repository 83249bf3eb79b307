// Package peer carries messages between routers over drpc.
//
// Every envelope of control messages states the sender and its incarnation, a
// number that is higher at each start of the router. A Server drops messages whose
// incarnation is lower than one that it has already received from the router.
//
// Links sends control messages without acknowledgement. Messages wait in a
// bounded queue per peer; all that are queued, up to a limit, leave in one
// envelope as soon as the previous envelope has been written. Batches therefore
// grow with the load, and an idle link adds no delay. A message is lost if its
// queue is full or its connection breaks; the state machines on both sides
// tolerate that.
//
// The calls Fetch, ReadAnswer and Confirm wait for a reply of the other router.
// They do not share connections with the control messages.
//
// Every byte sent is counted, and every control message by its kind.
package peer
