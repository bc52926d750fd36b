package membership

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/platform"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// Record is a node's object on the platform.
type Record struct {
	fleet.Node
	// PlatformState is the state of the node's VM in the platform's list. It is
	// separate from the node's own State so that neither overwrites the other.
	PlatformState fleet.VMState `json:",omitempty"`
	// Version is the platform's version of the record's last change.
	Version platform.Version `json:"-"`
	// Deleted marks a tombstone, which is kept to propagate the deletion.
	Deleted bool `json:"-"`
}

// Leaving reports whether the node itself or the platform states that it is
// leaving.
func (r Record) Leaving() bool {
	return r.State == fleet.VMLeaving || r.PlatformState == fleet.VMLeaving
}

// Key returns the key of a node's object on the platform.
func Key(control fleet.Address) string { return platform.NodePrefix + string(control) }

// EncodeRecord returns the data of a node's object.
func EncodeRecord(record Record) ([]byte, error) {
	data, err := json.Marshal(record)
	return data, errors.Wrapf(err, "encode record of node %s", record.Control)
}

// decodeRecord decodes a node's object. The control address comes from the key.
func decodeRecord(object platform.Object) (Record, error) {
	var record Record
	if err := json.Unmarshal(object.Data, &record); err != nil {
		return Record{}, errors.Wrapf(err, "decode object %s", object.Key)
	}
	record.Control = controlOf(object.Key)
	record.Version = object.Version
	record.State = stateOf(record.State == fleet.VMLeaving)
	record.PlatformState = stateOf(record.PlatformState == fleet.VMLeaving)
	return record, nil
}

func controlOf(key string) fleet.Address {
	return fleet.Address(strings.TrimPrefix(key, platform.NodePrefix))
}

// RecordToRPC returns the message form of a record.
func RecordToRPC(record Record) *rpc.NodeRecord {
	message := &rpc.NodeRecord{
		Control: string(record.Control),
		Version: uint64(record.Version),
		Deleted: record.Deleted,
	}
	if record.Deleted {
		return message
	}
	message.Vm = record.VM
	message.Role = string(record.Role)
	message.Data = string(record.Data)
	message.Zone = string(record.Zone)
	message.Region = record.Region
	message.Service = string(record.Service)
	message.Leaving = record.State == fleet.VMLeaving
	message.PlatformLeaving = record.PlatformState == fleet.VMLeaving
	message.Incarnation = record.Incarnation
	return message
}

// RecordFromRPC returns the record of a message.
func RecordFromRPC(message *rpc.NodeRecord) Record {
	return Record{
		Node: fleet.Node{
			VM:          message.GetVm(),
			Role:        fleet.Role(message.GetRole()),
			Control:     fleet.Address(message.GetControl()),
			Data:        fleet.Address(message.GetData()),
			Zone:        fleet.Zone(message.GetZone()),
			Region:      message.GetRegion(),
			Service:     fleet.Service(message.GetService()),
			State:       stateOf(message.GetLeaving()),
			Incarnation: message.GetIncarnation(),
		},
		PlatformState: stateOf(message.GetPlatformLeaving()),
		Version:       platform.Version(message.GetVersion()),
		Deleted:       message.GetDeleted(),
	}
}

func stateOf(leaving bool) fleet.VMState {
	if leaving {
		return fleet.VMLeaving
	}
	return fleet.VMLive
}
