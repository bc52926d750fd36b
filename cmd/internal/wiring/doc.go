// Package wiring puts the parts of each role together. The daemons and
// bluebell-dev share it, so that a fleet in one process is wired as the real
// one is.
package wiring
