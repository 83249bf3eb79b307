// Package driver runs a pure state machine of package coordination inside a
// process: it serialises the steps, supplies the clock and keeps the one timer
// that the machine may ask for.
//
// Outputs are applied while the machine is locked, so that their order is the
// order of the steps. Applying an output must therefore never block.
package driver
