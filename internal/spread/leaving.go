package spread

import "github.com/bluebellchute/bluebellchute/internal/fleet"

// PlatformLeaving reports whether this node's VM is leaving according to the
// platform's list. The view merges that with the node's self-report, so a node
// that read it there would mistake its own report for the platform's and, after
// an operator's drain, never accept work again.
func (m *Manager) PlatformLeaving() bool {
	records, _ := m.directory.Records()
	for _, record := range records {
		if record.Control == m.config.Self.Control {
			return record.PlatformState == fleet.VMLeaving
		}
	}
	return false
}
