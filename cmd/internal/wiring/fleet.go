package wiring

import (
	"github.com/bluebellchute/bluebellchute/internal/agent"
	"github.com/bluebellchute/bluebellchute/internal/router"
)

// Fleet is the shared knowledge of the fleet as both roles need it.
type Fleet interface {
	agent.Fleet
	router.Fleet
}
