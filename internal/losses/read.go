// Package losses tells from the logs of routers what callers asked, what they
// were owed and what they got, and what was decided on a single request.
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
	// Request is the id of the request that it is about, "" for none.
	Request string `json:"request"`
	Raw     json.RawMessage
}

// lineMost bounds one line of a log.
const lineMost = 1 << 20

// Read calls take for each record of a log. Whatever stands before a record on
// its line is passed over, as tools that gather logs put times and names there;
// lines without a record are passed over as well.
func Read(log io.Reader, take func(record Record) error) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), lineMost)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		raw := bytes.Clone(scanner.Bytes()[start:])
		var record Record
		if err := json.Unmarshal(raw, &record); err != nil || record.Event == 0 {
			continue // not a record of ours
		}
		record.Raw = raw
		if err := take(record); err != nil {
			return err
		}
	}
	return errors.WithStack(scanner.Err())
}
