// Package control carries the control messages between the system's processes:
// twirp services over unencrypted HTTP/2 on the control port of each node,
// which also serves metrics and health.
//
// Server serves one node's services and Pool calls those of its peers. Both
// share a Metrics that counts the bytes of each class of message, as read and
// written at the connections.
package control
