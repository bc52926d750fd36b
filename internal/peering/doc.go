// Package peering tells routers of each other: what each uses, what it knows,
// and how fresh that is.
//
// Each router sends a small datagram, a beat, to every other one several times
// a second. A router that the store does not reach takes the configuration
// and the list of backend servers from one that it does.
package peering
