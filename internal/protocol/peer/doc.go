// Package peer holds the messages between routers and their conversion to and
// from the types of the coordination packages.
//
// The wire form is protocol buffers over drpc; peer.pb.go and
// peer_drpc.pb.go are generated from peer.proto and committed.
package peer
