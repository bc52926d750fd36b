// Package platform accesses the platform's object API and its list of VMs. The
// API stores everything that has to outlive a process of the system.
package platform

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// MaxObjectBytes is the maximum size of an object's data.
const MaxObjectBytes = 1 << 20

// Version counts the changes of the whole platform. An object's version is that
// of its last change; 0 stands for an object that does not exist.
type Version uint64

// Errors of the platform's calls. Match them with errors.Is.
var (
	// ErrNotFound means that no object exists under the key.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the object does not have the expected version and
	// that the write has had no effect.
	ErrConflict = errors.New("version conflict")
	// ErrUnavailable means that the platform did not accept the call; a write
	// has had no effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrOutcomeUnknown means that the reply was lost: a write may or may not
	// have taken effect. Only a later read can show which.
	ErrOutcomeUnknown = errors.New("outcome of the write is unknown")
	// ErrRateLimited means that the call exceeded the platform's rate limit.
	ErrRateLimited = errors.New("platform rate limit")
	// ErrCompacted means that a watch requested changes that are no longer
	// available; the caller has to list again.
	ErrCompacted = errors.New("watch version too old")
)

// Object is one value with its key and version.
type Object struct {
	Key     string
	Version Version
	Data    []byte
}

// Change is one change that a watch reports.
type Change struct {
	Object  Object
	Deleted bool
}

// VM is an entry of the platform's list of VMs, which lags behind the actual
// state.
type VM struct {
	Name  string
	Zone  fleet.Zone
	State fleet.VMState
}

// API is the part of the platform that the system uses. Client and Store
// implement it.
type API interface {
	// Get returns one object or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes the object if its version is still expect; 0 creates it.
	Put(ctx context.Context, key string, data []byte, expect Version) (Version, error)
	// Delete removes the object if its version is still expect.
	Delete(ctx context.Context, key string, expect Version) error
	// List returns the objects whose keys begin with prefix, ordered by key,
	// and the version at which the list was current.
	List(ctx context.Context, prefix string) ([]Object, Version, error)
	// Watch waits until an object under prefix changes after version from, for
	// wait at most. It returns the changes in order and the version up to which
	// they are complete.
	Watch(ctx context.Context, prefix string, from Version, wait time.Duration) ([]Change, Version, error)
	// VMs returns the list of live and leaving VMs.
	VMs(ctx context.Context) ([]VM, error)
}
