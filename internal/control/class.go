package control

import (
	"path"
	"strings"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// Class groups control messages by their purpose for the byte counts.
type Class int

// The classes of control messages.
const (
	ClassOffer    Class = iota // Offer and Free
	ClassGrant                 // Grant
	ClassTally                 // Report
	ClassSettings              // Sync
	ClassFence                 // Fence, Cancel and Claim
	ClassOther                 // Drain, Status and calls that are unknown
	ClassScrape                // metrics and health, which come from outside the fleet
	ClassFraming               // what is not a message's body: headers, pings, HTTP/2 frames
	classCount
)

// String returns the value of the metric's label.
func (c Class) String() string {
	return [classCount]string{"offer", "grant", "tally", "settings", "fence", "other", "scrape", "framing"}[c]
}

const (
	// callTimeout bounds a call that moves a few kilobytes at most.
	callTimeout = 1500 * time.Millisecond
	// bulkTimeout bounds a call that may move the whole settings tree.
	bulkTimeout = 5 * time.Second
)

// method is what the package knows of one twirp method.
type method struct {
	class   Class
	step    fleet.Step // at which an error of the method arises
	timeout time.Duration
}

// methodNamed returns the method of that name. Names are unique over the three
// services.
func methodNamed(name string) method {
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
	return methodNamed(path.Base(urlPath)).class
}
