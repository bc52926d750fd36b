package settings

import (
	"fmt"

	"github.com/bluebellchute/bluebellchute/internal/platform"
)

// Keys and key prefixes of the objects that store the settings on the platform.
const (
	HeadKey     = "settings/head"
	ChunkPrefix = "settings/chunk/"
	AuditPrefix = "settings/audit/"
)

// maxEditBytes is the maximum size of an edit after compression.
const maxEditBytes = 256 << 10

// limits holds the bounds of the head and chunk objects. The head is kept small
// because every watching node reads it after every edit; edits are written to
// audit objects before they are removed from it.
type limits struct {
	maxRecent       int    // edits in the head
	keepRecent      int    // edits that stay in the head when older ones move to an audit object
	maxRecentBytes  int    // of the edits in the head, each compressed separately, before a new one is added
	collectInterval uint64 // revisions between two garbage collections of chunks
	chunkRetention  uint64 // revisions for which replaced chunks are kept for readers of an older head
	maxChunkBytes   int    // after compression; when a chunk is larger, the number of chunks doubles
	maxChunks       int    // maximum number of chunks after splitting
}

var defaultLimits = limits{
	maxRecent:       64,
	keepRecent:      32,
	maxRecentBytes:  128 << 10,
	collectInterval: 32,
	chunkRetention:  8,
	maxChunkBytes:   128 << 10,
	maxChunks:       1024,
}

// Head is the object whose conditional update commits an edit. The objects that
// it refers to are immutable and are written before it.
type Head struct {
	Revision        uint64     `json:"revision"`
	AuditedRevision uint64     `json:"audited"`              // edits up to this revision are in audit objects
	LastAuditKey    string     `json:"last_audit,omitempty"` // key of the newest audit object
	Recent          []Record   `json:"recent"`               // revisions AuditedRevision+1 to Revision
	Chunks          []ChunkRef `json:"chunks"`
}

// editsSince returns the edits after a revision. It returns false if some of them
// are no longer in the head.
func (h *Head) editsSince(revision uint64) ([]Record, bool) {
	if revision < h.AuditedRevision {
		return nil, false
	}
	if revision >= h.Revision {
		return nil, true
	}
	return h.Recent[revision-h.AuditedRevision:], true
}

// check returns an error if the head is inconsistent. With a gap between edits,
// nodes would apply an edit to the wrong tree.
func (h *Head) check() error {
	if h.AuditedRevision+uint64(len(h.Recent)) != h.Revision {
		return fmt.Errorf("head of revision %d has %d edits after revision %d", h.Revision, len(h.Recent), h.AuditedRevision)
	}
	for i, record := range h.Recent {
		if want := h.AuditedRevision + uint64(i) + 1; record.Revision != want {
			return fmt.Errorf("head of revision %d has edit %d where edit %d is expected", h.Revision, record.Revision, want)
		}
	}
	return nil
}

// Snapshot is the settings as returned by one read of the platform.
type Snapshot struct {
	Head    *Head
	Version platform.Version // of the head object; 0 if there is none yet
	Tree    *Tree
}
