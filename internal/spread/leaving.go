package spread

import "github.com/bluebellchute/bluebellchute/internal/fleet"

// PlatformLeaving tells whether the platform's list says that this node's VM
// is leaving. The view joins that with the node's own word, so a node that
// read it there would take its own word for the platform's and, after an
// operator's drain, never come back.
func (m *Manager) PlatformLeaving() bool {
	records, _ := m.directory.Records()
	for _, record := range records {
		if record.Control == m.config.Self.Control {
			return record.PlatformState == fleet.VMLeaving
		}
	}
	return false
}
