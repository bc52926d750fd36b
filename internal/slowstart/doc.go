// Package slowstart bounds what all routers together send to a backend server that has
// just started. Such a server is cold: it crashes when it gets more requests in a second
// than it tolerates, and all its running requests fail.
//
// Without a common bound, when an availability zone comes back or servers are added under
// full load, every router would send to the same empty servers at the same time.
//
// The routers do not coordinate. Each computes its share of the bound from the routers
// that it knows: a hash orders them differently for each server, and the first ones, as
// many as the bound has room for, may send a request each. Routers stay known for minutes
// after their last heartbeat, so that the parts of a partitioned fleet do not each use
// the whole bound.
package slowstart
