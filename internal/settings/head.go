package settings

import (
	"fmt"

	"github.com/bluebellchute/bluebellchute/internal/platform"
)

// Keys of the settings' objects on the platform.
const (
	HeadKey     = "settings/head"
	ChunkPrefix = "settings/chunk/"
	AuditPrefix = "settings/audit/"
)

// maxEditBytes is the largest size of one edit, after compression.
const maxEditBytes = 256 << 10

// limits bound the head object and the chunk objects. The head is
// read by every watching node after every edit, so it stays small; what leaves
// it goes to audit objects first.
type limits struct {
	maxRecent      int    // edits in the head
	keepRecent     int    // edits that stay when older ones move to an audit object
	maxRecentBytes int    // of the edits, each compressed alone; the newest one is not counted
	collectEvery   uint64 // revisions between two searches for unreferenced chunks
	keepChunks     uint64 // revisions for which replaced chunks stay for readers of an older head
	maxChunkBytes  int    // after compression; there are more chunks when one is larger
	maxChunks      int    // number up to which chunks are split
}

var defaultLimits = limits{
	maxRecent:      64,
	keepRecent:     32,
	maxRecentBytes: 128 << 10,
	collectEvery:   32,
	keepChunks:     8,
	maxChunkBytes:  128 << 10,
	maxChunks:      1024,
}

// Head is the object whose conditional update accepts an edit. Everything else
// that it refers to is written before and never changed.
type Head struct {
	Revision        uint64     `json:"revision"`
	AuditedRevision uint64     `json:"audited"`              // edits up to this revision are in audit objects
	LastAuditKey    string     `json:"last_audit,omitempty"` // key of the newest audit object
	Recent          []Record   `json:"recent"`               // revisions Audited+1 to Revision
	Chunks          []ChunkRef `json:"chunks"`
}

// since returns the edits after a revision. It reports false when some of them
// have left the head.
func (h *Head) since(revision uint64) ([]Record, bool) {
	if revision < h.AuditedRevision {
		return nil, false
	}
	if revision >= h.Revision {
		return nil, true
	}
	return h.Recent[revision-h.AuditedRevision:], true
}

// check returns an error when the head contradicts itself. A hole in the edits
// would make nodes apply them to the wrong tree.
func (h *Head) check() error {
	if h.AuditedRevision+uint64(len(h.Recent)) != h.Revision {
		return fmt.Errorf("head of revision %d has %d edits after revision %d", h.Revision, len(h.Recent), h.AuditedRevision)
	}
	for place, record := range h.Recent {
		if want := h.AuditedRevision + uint64(place) + 1; record.Revision != want {
			return fmt.Errorf("head of revision %d has edit %d in the place of %d", h.Revision, record.Revision, want)
		}
	}
	return nil
}

// Snapshot is the settings as one read of the platform gave them.
type Snapshot struct {
	Head    *Head
	Version platform.Version // of the head object; 0 when there is none yet
	Tree    *Tree
}
