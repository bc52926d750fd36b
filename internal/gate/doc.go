// Package gate is the entry of the fleet for callers: it finds a request's
// route and account, decides whether, when and to which backend server it is
// sent, and returns the answer.
//
// A request goes directly to its backend server and is sent once, unless the
// backend server says itself that it did not run it or the route allows a
// second run. What the wire calls things is known to a Dialect only.
package gate
