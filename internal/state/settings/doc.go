// Package settings holds what one router process learns from its settings
// file: its name, addresses, failure domain, the platform's addresses and the
// bounds of its memory. What the fleet shares stands in the operators' text.
package settings
