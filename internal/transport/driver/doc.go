// Package driver runs a pure state machine of one of the coordination packages
// inside a process: it serialises the steps, supplies the current time and
// manages the single timer that the machine may set.
//
// Outputs are applied while the machine is locked, so that they are applied in
// the order of the steps. Applying an output must therefore never block, and
// must not feed an input to the same driver.
package driver
