// Package slowstart bounds what all routers together send to a backend server that
// has just started. Such a server is cold: it crashes when it gets more requests in a
// second than it tolerates, and with it go all requests that it runs.
//
// The load that this package answers: a whole availability zone comes back, or new
// servers are added, while callers ask for all that the fleet can do, and every router
// sees the same empty servers at the same moment.
//
// No router asks another one for leave. Each knows by itself how much of the bound is
// its part, from the routers that it knows: a hash orders them anew for each server, and
// the first ones, as many as the bound has room for, may send a request each. Routers
// stay known for minutes after they have fallen silent, so that a fleet that is cut in
// two does not use the bound twice.
package slowstart
