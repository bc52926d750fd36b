// Package fleet defines the types that all roles share: the identities of nodes,
// accounts, services and requests, the outcomes of requests, and errors with the
// step at which they occurred.
package fleet

import (
	"github.com/google/uuid"
)

// Role is the role of a process in the system.
type Role string

// The two roles that are members of the fleet.
const (
	RoleRouter Role = "router"
	RoleAgent  Role = "agent"
)

// Address is an IP address with a port. A node's control address is also its
// identity in the fleet.
type Address string

// Account is the path of a client account in the settings tree.
type Account string

// Service is the name of a model or of a plain service that backend servers provide.
type Service string

// Zone is the name of an availability zone.
type Zone string

// RequestID identifies one request across all its attempts. It is a UUIDv7, so it
// includes the time at which the request was made.
type RequestID = uuid.UUID

// VMState is the state of a VM: only a live VM is given new work.
type VMState string

// The states in the platform's list of VMs.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// Node describes one process of the system to the others.
type Node struct {
	VM      string  // name of the VM in the platform's list
	Role    Role    // router or agent
	Control Address // address of the twirp services, metrics and health checks
	Data    Address // address of a router for callers, or of an agent's data path
	Zone    Zone
	Region  string
	Service Service // agents only
	State   VMState
	// Incarnation is the start time of the process in Unix nanoseconds.
	Incarnation uint64
}

// Outcome tells a caller whether its request was run.
type Outcome string

// The outcomes in the header Bluebell-Outcome.
const (
	// OutcomeCompleted means that the complete response was sent.
	OutcomeCompleted Outcome = "completed"
	// OutcomeNotRun means that the request has not been run and will not be run.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have been run.
	OutcomeUnknown Outcome = "unknown"
)
