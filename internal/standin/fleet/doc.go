// Package fleet starts a complete simulated platform: the log, the VM list, the
// weight store, and every endpoint that the operators' text (see package
// internal/state/text) lists. It starts no routers.
package fleet
