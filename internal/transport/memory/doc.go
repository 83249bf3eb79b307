// Package memory bounds the memory that many holders may take together. Each holder
// may have a bound of its own too, but as many as a router has at a time could take
// more than the memory of the process.
package memory
