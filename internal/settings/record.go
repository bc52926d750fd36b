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

// EditID identifies an edit across all attempts to commit it. It is a UUIDv7, so
// it also contains the time at which the edit was made.
type EditID = uuid.UUID

// Record is an accepted edit in the audit trail.
type Record struct {
	ID       EditID    `json:"id"`
	Revision uint64    `json:"revision"` // of the tree after the edit
	Time     time.Time `json:"time"`
	Operator string    `json:"operator"`
	Reason   string    `json:"reason,omitempty"`
	Changes  []Change  `json:"changes"`
}

// maxDecodedBytes bounds the size of a decompressed object, so that a corrupt one
// cannot exhaust a node's memory.
const maxDecodedBytes = 64 * platform.MaxObjectBytes

// gzipWriters pools writers for reuse, since each allocates almost a megabyte.
var gzipWriters = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}

// encode encodes a value as compressed JSON, the form in which the settings are
// stored. Equal values give equal bytes.
func encode(value any) ([]byte, error) {
	var buffer bytes.Buffer
	compressor := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(compressor)
	compressor.Reset(&buffer)
	if err := json.NewEncoder(compressor).Encode(value); err != nil {
		return nil, errors.WithStack(err)
	}
	if err := compressor.Close(); err != nil {
		return nil, errors.WithStack(err)
	}
	return buffer.Bytes(), nil
}

// decode decodes the output of encode.
func decode(data []byte, value any) error {
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "decoding a settings object")
	}
	text, err := io.ReadAll(io.LimitReader(reader, maxDecodedBytes))
	if err != nil {
		return errors.Wrap(err, "decoding a settings object")
	}
	return errors.Wrap(json.Unmarshal(text, value), "decoding a settings object")
}
