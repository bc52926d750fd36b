package load

import (
	"bytes"
	"encoding/json"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/bluebellchute/bluebellchute/internal/engine"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// engineRecord is an engine with its ledger.
type engineRecord struct {
	service string
	address fleet.Address
	slots   int
	runs    []engine.Run
}

// readEngines reads the number of slots of every engine.
func readEngines(services []ServiceSection) ([]*engineRecord, error) {
	var records []*engineRecord
	for _, service := range services {
		for _, address := range service.Engines {
			var report engine.Load
			body, err := get(address, "/load")
			if err == nil {
				err = json.Unmarshal(body, &report)
			}
			if err != nil {
				return nil, errors.Wrapf(err, "load report of the engine at %s", address)
			}
			records = append(records, &engineRecord{service: service.Name, address: address, slots: report.Slots})
		}
	}
	return records, nil
}

// readLedgers reads the runs since the time given from every engine.
func readLedgers(records []*engineRecord, since time.Time) error {
	for _, record := range records {
		body, err := get(record.address, "/ledger?since_ns="+strconv.FormatInt(since.UnixNano(), 10))
		if err != nil {
			return errors.Wrapf(err, "ledger of the engine at %s", record.address)
		}
		decoder := json.NewDecoder(bytes.NewReader(body))
		for decoder.More() {
			var run engine.Run
			if err := decoder.Decode(&run); err != nil {
				return errors.Wrapf(err, "ledger of the engine at %s", record.address)
			}
			record.runs = append(record.runs, run)
		}
	}
	return nil
}

// getTimeout limits a request to an engine or node.
const getTimeout = 10 * time.Second

func get(address fleet.Address, path string) ([]byte, error) {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+string(address)+path, getTimeout)
	if err != nil {
		return nil, err
	}
	if status != fasthttp.StatusOK {
		return nil, errors.Errorf("status %d", status)
	}
	return body, nil
}
