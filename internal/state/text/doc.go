// Package text holds the operators' text: the one JSON document that lists
// organisations, services, pools, models and rehearsals.
//
// A Document is a value. It is parsed and validated once, and every reader
// shares the parsed value without copying, so no field may be changed after
// Parse has returned it.
package text
