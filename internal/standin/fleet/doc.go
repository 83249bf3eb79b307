// Package fleet starts a complete simulated platform: the log, the VM list, the
// weight store, and every endpoint that an operators' text lists.
package fleet
