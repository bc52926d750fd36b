package control

import (
	"path"
	"strings"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// Class is a group of control messages with the same purpose, for the byte counts.
type Class int

// The classes of control messages.
const (
	ClassOffer    Class = iota // Offer and Free
	ClassGrant                 // Grant
	ClassTally                 // Report
	ClassSettings              // Sync
	ClassFence                 // Fence, Cancel and Claim
	ClassOther                 // Drain, Status and unknown methods
	ClassScrape                // metrics and health checks, called from outside the fleet
	ClassFraming               // bytes outside message bodies: headers, pings, HTTP/2 frames
	classCount
)

// String returns the value of the metric's label class.
func (c Class) String() string {
	return [classCount]string{"offer", "grant", "tally", "settings", "fence", "other", "scrape", "framing"}[c]
}

const (
	// callTimeout bounds a call that transfers at most a few kilobytes.
	callTimeout = 1500 * time.Millisecond
	// bulkTimeout bounds a call that may transfer the complete settings tree.
	bulkTimeout = 5 * time.Second
)

// method holds the properties of one twirp method.
type method struct {
	class   Class
	step    fleet.Step // the step that errors of the method name
	timeout time.Duration
}

// methodByName returns the method of a name. Names are unique across the three
// services.
func methodByName(name string) method {
	switch name {
	case "Offer", "Free":
		return method{class: ClassOffer, step: fleet.StepOffer, timeout: callTimeout}
	case "Grant":
		return method{class: ClassGrant, step: fleet.StepGrant, timeout: callTimeout}
	case "Report":
		return method{class: ClassTally, step: fleet.StepRun, timeout: callTimeout}
	case "Sync":
		return method{class: ClassSettings, step: fleet.StepSpread, timeout: bulkTimeout}
	case "Fence", "Cancel":
		return method{class: ClassFence, step: fleet.StepAnswer, timeout: callTimeout}
	case "Claim":
		return method{class: ClassFence, step: fleet.StepAccept, timeout: callTimeout}
	default:
		return method{class: ClassOther, step: fleet.StepSend, timeout: bulkTimeout}
	}
}

// classOfPath returns the class of a request by its URL path.
func classOfPath(urlPath string) Class {
	if !strings.HasPrefix(urlPath, twirpPrefix) {
		return ClassScrape
	}
	return methodByName(path.Base(urlPath)).class
}
