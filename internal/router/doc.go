// Package router takes callers' requests, holds them until a backend server
// has a slot for them, sends them to that server's agent and returns whole
// answers.
//
// The decisions stand in World: tables (tables.go) and systems (system_*.go)
// that run over them at each tick. World does no I/O. The files shell_*.go
// translate between World and the network: fiber towards callers, fasthttp on
// the data path to agents, twirp on the control path.
package router
