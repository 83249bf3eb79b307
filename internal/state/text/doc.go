// Package text defines the operators' text, the configuration of the whole
// fleet: one JSON document that lists organisations, services, pools, models
// and rehearsals.
//
// A Document is parsed and validated once. All readers share the parsed value
// without copying it, so no field may be changed after Parse has returned it.
package text
