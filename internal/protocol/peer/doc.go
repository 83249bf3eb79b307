// Package peer defines the messages between routers and converts them to and
// from the types of the coordination packages.
//
// The wire format is protocol buffers over drpc; peer.pb.go and
// peer_drpc.pb.go are generated from peer.proto and committed.
package peer
