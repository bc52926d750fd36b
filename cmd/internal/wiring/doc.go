// Package wiring assembles the components of routers and agents. The daemons and
// bluebell-dev share it, so that a fleet in one process has the same components
// as a real one.
package wiring
