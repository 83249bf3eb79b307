// Package command implements the command line of hyssopreach.
//
// Each command has its own file. Results go to standard output, errors and logs
// to standard error, and the exit code states the outcome.
package command
