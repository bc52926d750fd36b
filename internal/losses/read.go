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

// eventMark is in every record, also in one that a kill has cut.
var eventMark = []byte(`"event":`)

// Read calls take for each record of a log and returns how many could not be read:
// the end of a log that a kill has cut is one, and take tells of others by an
// error. They are left out. Whatever stands before a record on its line is passed
// over, as tools that gather logs put times and names there; lines without a record
// are passed over as well.
func Read(log io.Reader, take func(record Record) error) (spoiled int, err error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), lineMost)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 || !bytes.Contains(scanner.Bytes(), eventMark) {
			continue
		}
		raw := bytes.Clone(scanner.Bytes()[start:])
		record := Record{Raw: raw}
		if json.Unmarshal(raw, &record) != nil || take(record) != nil {
			spoiled++
		}
	}
	return spoiled, errors.WithStack(scanner.Err())
}
