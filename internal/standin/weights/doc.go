// Package weights simulates the platform's store of model weights, which
// schedules transfers at a limited total rate, first come first served.
package weights
