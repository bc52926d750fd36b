// Package daemon is the frame of all daemons: flags, configuration, logs,
// signals, readiness, the control port, and the wiring of their parts.
//
// The main function of a fleet node is one call of Main with the wiring of
// its parts. Processes that are no node use ParseFlags, NewLogger and Run.
package daemon
