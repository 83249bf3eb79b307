// Package fleet starts a whole platform of stand-ins: the log, the VM list,
// the weight store, and every endpoint that an operators' text lists.
package fleet
