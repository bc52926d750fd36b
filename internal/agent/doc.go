// Package agent is the sole owner of one backend server's capacity: it admits
// requests, grants slots to routers, charges client accounts, and keeps each
// answer until its router has acknowledged it.
//
// The decisions are made by World, which does no I/O and reads no clock. The
// files system_*.go hold the rules that run at each tick, take_*.go what one
// input changes, and shell_*.go the servers and clients that only translate.
package agent
