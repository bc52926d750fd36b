// Package losses reports from routers' logs what callers requested, what share
// they were entitled to and what they were served, and traces single requests.
package losses

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"
)

// Record is one log record of a router.
type Record struct {
	Event int       `json:"event"`
	Time  time.Time `json:"time"`
	Node  string    `json:"node"`
	// Request is the id of the request that the record belongs to, or "".
	Request string `json:"request"`
	Raw     json.RawMessage
}

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// eventKey is near the start of every record, so truncated records have it too.
var eventKey = []byte(`"event":`)

// Read calls handle for each record of a log and returns the number of invalid
// records, which it skips: those that are not JSON, such as the last one of a
// killed process, and those for which handle returns an error. Text before a
// record on its line is ignored, since log collectors put times and names there.
// Lines without a record are ignored, too.
func Read(log io.Reader, handle func(record Record) error) (invalid int, err error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLineBytes)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 || !bytes.Contains(scanner.Bytes(), eventKey) {
			continue
		}
		raw := bytes.Clone(scanner.Bytes()[start:])
		record := Record{Raw: raw}
		if json.Unmarshal(raw, &record) != nil || handle(record) != nil {
			invalid++
		}
	}
	return invalid, errors.WithStack(scanner.Err())
}
