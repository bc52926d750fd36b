package settings

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/platform"
)

// EditID identifies an edit over all attempts to have it accepted. It is a
// UUIDv7, so it also tells when the edit was made.
type EditID = uuid.UUID

// Record is one accepted edit of the audit trail.
type Record struct {
	ID       EditID    `json:"id"`
	Revision uint64    `json:"revision"` // of the tree after the edit
	Time     time.Time `json:"time"`
	Operator string    `json:"operator"`
	Reason   string    `json:"reason,omitempty"`
	Changes  []Change  `json:"changes"`
}

// maxDecodedBytes bounds what a compressed object may grow to. A broken object
// must not take all memory of a node.
const maxDecodedBytes = 64 * platform.MaxObjectBytes

// compressors keeps writers for reuse, since each one takes most of a megabyte.
var compressors = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}

// encode writes an object of the settings: compressed JSON. Equal values give
// equal bytes.
func encode(value any) ([]byte, error) {
	var buffer bytes.Buffer
	compressor := compressors.Get().(*gzip.Writer)
	defer compressors.Put(compressor)
	compressor.Reset(&buffer)
	if err := json.NewEncoder(compressor).Encode(value); err != nil {
		return nil, errors.WithStack(err)
	}
	if err := compressor.Close(); err != nil {
		return nil, errors.WithStack(err)
	}
	return buffer.Bytes(), nil
}

// decode reads what encode wrote.
func decode(data []byte, value any) error {
	plain, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "object of the settings")
	}
	text, err := io.ReadAll(io.LimitReader(plain, maxDecodedBytes))
	if err != nil {
		return errors.Wrap(err, "object of the settings")
	}
	return errors.Wrap(json.Unmarshal(text, value), "object of the settings")
}
