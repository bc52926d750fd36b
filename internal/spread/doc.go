// Package spread distributes accepted settings, the list of nodes and verdicts
// to every node within seconds. A revision in force at a node never decreases.
//
// A few watchers in each availability zone receive changes from the platform. A
// node with an update pushes it immediately to a few peers, half of them in
// other zones. Each second a node compares revisions with one random peer.
// Every control envelope carries the sender's revisions, so that a node that is
// behind pulls from the sender. Once one node has a revision, the others no
// longer need the platform to get it.
//
// The decisions are made in World, which does no I/O and reads no clock.
// Manager translates between World, the platform and the peers.
package spread
