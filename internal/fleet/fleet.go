// Package fleet holds the words that all roles share: who is who in the fleet,
// how a request ended, and errors that tell where they arose.
package fleet

import (
	"github.com/google/uuid"
)

// Role is the job of a process of the system.
type Role string

// The two roles that are members of the fleet.
const (
	RoleRouter Role = "router"
	RoleAgent  Role = "agent"
)

// Address is an IP number with a port. The control address of a node is also
// its identity in the fleet.
type Address string

// Account names a client account by its path in the settings tree.
type Account string

// Service names a model or a plain service that backend servers provide.
type Service string

// Zone names an availability zone.
type Zone string

// RequestID identifies one request over all its attempts. It is a UUIDv7, so
// it also tells when the request was made.
type RequestID = uuid.UUID

// VMState tells whether a VM may be given new work.
type VMState string

// The states that the platform's list of VMs gives.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// Node is one process of the system as the others know it.
type Node struct {
	VM      string  // name of the VM in the platform's list
	Role    Role    // router or agent
	Control Address // twirp services, metrics and health
	Data    Address // callers' interface of a router, data path of an agent
	Zone    Zone
	Region  string
	Service Service // agents only
	State   VMState
	// Incarnation is the start time of the process in Unix nanoseconds.
	Incarnation uint64
}

// Outcome is what a caller may rely on about its request.
type Outcome string

// The outcomes in the header Bluebell-Outcome.
const (
	// OutcomeCompleted means that the whole answer was handed out.
	OutcomeCompleted Outcome = "completed"
	// OutcomeNotRun means that the request did not run and will not run.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
)
