// Package peering exchanges state between routers: the load and usage of each, the fleet
// state that it holds, and how old that state is.
//
// Each router sends a small datagram, the heartbeat, to the other routers several times a
// second. A router that cannot reach the store pulls the configuration and the list of
// backend servers from one that can.
package peering
