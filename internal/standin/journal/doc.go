// Package journal stands in for the platform's append-only log.
//
// Each stream has its own offsets, which begin at zero and are never used
// twice, also after retention has dropped their records. A batch is appended
// whole or not at all. Faults can be switched in the process or over HTTP.
package journal
