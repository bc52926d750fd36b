package membership

import (
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/platform"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// Delta implements spread.Document.
func (d *Directory) Delta(since uint64) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	if platform.Version(since) >= d.revision {
		return nil
	}
	delta := &rpc.MembersDelta{
		From:     since,
		To:       uint64(d.revision),
		Complete: platform.Version(since) < d.deletionsPrunedTo || since == 0,
	}
	for _, record := range d.matching(func(*Record) bool { return true }) {
		changed := record.Version > platform.Version(since)
		switch {
		case changed:
			delta.Records = append(delta.Records, RecordToRPC(record))
		case delta.Complete && !record.Deleted:
			delta.Present = append(delta.Present, shortHash(record.Control))
		}
	}
	encoded, err := proto.Marshal(delta)
	if err != nil {
		// Marshal fails only on text that is not valid UTF-8.
		return nil
	}
	return encoded
}

// Apply implements spread.Document.
func (d *Directory) Apply(encoded []byte) (bool, error) {
	var delta rpc.MembersDelta
	if err := proto.Unmarshal(encoded, &delta); err != nil {
		return false, errors.Wrap(err, "decode delta of the list of nodes")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	to := platform.Version(delta.GetTo())
	if to <= d.revision || platform.Version(delta.GetFrom()) > d.revision {
		return false, nil
	}
	exists := make(map[uint32]bool, len(delta.GetPresent())+len(delta.GetRecords()))
	for _, hash := range delta.GetPresent() {
		exists[hash] = true
	}
	for _, message := range delta.GetRecords() {
		record := RecordFromRPC(message)
		exists[shortHash(record.Control)] = true
		d.merge(record)
	}
	if delta.GetComplete() {
		d.deleteAbsent(func(control fleet.Address) bool { return exists[shortHash(control)] }, to)
		d.deletionsPrunedTo = to
	}
	d.advanceRevision()
	d.revision = max(d.revision, to)
	return true, nil
}

// shortHash identifies a node by 4 bytes in a delta. If two nodes share a hash,
// a deletion may be missed until the next complete delta; nothing else depends
// on it.
func shortHash(control fleet.Address) uint32 {
	return uint32(xxhash.Sum64String(string(control)))
}
