// Package journal simulates the platform's append-only log.
//
// The offsets of each stream start at zero. An offset is never reused, even
// after retention has discarded its record. A batch is appended atomically.
// Faults can be injected by a call or over HTTP.
package journal
