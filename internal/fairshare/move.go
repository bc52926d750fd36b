package fairshare

import "github.com/bluebellchute/bluebellchute/internal/fleet"

// Move gives a request in progress another id. A grant is charged as a request
// of its own from the time it is issued, because several slots that become
// free at once would otherwise all go to the account with the smallest clock;
// the request that comes on the grant takes the charge over. It reports false,
// and changes nothing, when from does not run or to does.
func (c *Clocks) Move(from, to fleet.RequestID) bool {
	moved, ok := c.runs[from]
	if !ok || c.runs[to] != nil {
		return false
	}
	delete(c.runs, from)
	c.runs[to] = moved
	return true
}
