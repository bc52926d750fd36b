// Package lab simulates a fleet with the production code for tiers and bounds,
// shares, the choice of an engine and Retry-After. Simulated routers know each
// other's load as of the last heartbeats, engines are those of package emulator,
// and refused callers retry once after the time that they were given.
//
// It serves to compare policies over many random deployments. It does not model
// connections, the routers' CPU time, faults or the value of a request to its caller.
package lab
