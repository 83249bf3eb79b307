// Package command is the command line of hyssopreach.
//
// Each command is one file. Answers go to standard output, errors and logs to
// standard error, and the exit code tells how it went.
package command
