// Package spread brings accepted settings, the list of nodes and verdicts to
// every node within seconds, and never lets a node go back.
//
// A few watchers in each availability zone hear of a change from the platform.
// A node with news pushes it to a few peers at once, half of them in other
// zones. Each second a node compares revisions with one random peer, and every
// control envelope carries the sender's revisions, so that a node that is
// behind pulls from the sender. Once one node has a revision, the platform is
// no longer needed for the others to get it.
//
// The decisions are in World, which does no I/O and reads no clock. Manager
// translates between World, the platform and the peers.
package spread
