// Package lab plays a fleet in simulated time with the product's own decisions:
// tiers and bounds, shares, choice of an engine, time to come back. Routers know
// of each other what beats brought last; engines are those of package emulator;
// callers that are refused come back once, when they were told to.
//
// It serves to compare policies over many drawn deployments. It leaves out
// connections, the routers' own processors, faults and what callers are worth.
package lab
