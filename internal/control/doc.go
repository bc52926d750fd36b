// Package control transports the control messages between nodes: twirp services
// over unencrypted HTTP/2 on each node's control port, which also serves metrics
// and health checks.
//
// Server serves the services of one node, and Pool calls those of its peers. Both
// share a Metrics, which counts the bytes of each class of message as read from
// and written to the connections.
package control
