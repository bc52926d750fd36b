package pace

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

// Table holds what this router has seen of backend servers, by the hashes of their
// incarnations. Its methods may be called concurrently.
type Table struct{}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{} }

// Told notes what a backend server told with an answer.
func (t *Table) Told(server uint32, report Report, now boottime.Instant) {}

// Read notes that an engine took the time until the first event of a request, while so
// many prompt tokens were waiting there, the request's own included.
func (t *Table) Read(server uint32, tokens float64, took time.Duration, now boottime.Instant) {}

// Streamed notes the end of a whole stream, and whether it was late.
func (t *Table) Streamed(server uint32, late bool, now boottime.Instant) {}

// Own returns what this router has seen, as of the moment.
func (t *Table) Own(now boottime.Instant) map[uint32]Observation { return nil }

// Keep forgets the backend servers that are not listed any more.
func (t *Table) Keep(listed map[uint32]bool, now boottime.Instant) {}
