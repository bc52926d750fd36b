package spread

import (
	"context"
	"encoding/binary"
	"slices"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/platform"
)

const headKey = "settings/head"

// fakeReplica is a document whose revision is the length of its content.
type fakeReplica struct{ content []byte }

func (r *fakeReplica) Revision() uint64 { return uint64(len(r.content)) }

func (r *fakeReplica) Delta(since uint64) []byte {
	if since >= r.Revision() {
		return nil
	}
	return append(binary.BigEndian.AppendUint64(nil, since), r.content[since:]...)
}

func (r *fakeReplica) Apply(delta []byte) (bool, error) {
	if len(delta) < 8 {
		return false, errors.New("short delta")
	}
	from := binary.BigEndian.Uint64(delta)
	if from > r.Revision() {
		return false, nil
	}
	return r.replace(append(slices.Clone(r.content[:from]), delta[8:]...)), nil
}

func (r *fakeReplica) replace(content []byte) bool {
	if len(content) <= len(r.content) {
		return false
	}
	r.content = content
	return true
}

func (r *fakeReplica) WatchPrefix() string { return headKey }

func (r *fakeReplica) Load(ctx context.Context, api platform.API) (platform.Version, error) {
	object, err := api.Get(ctx, headKey)
	if errors.Is(err, platform.ErrNotFound) {
		return 0, nil
	}
	r.replace(object.Data)
	return object.Version, err
}

func (r *fakeReplica) ApplyChanges(_ context.Context, _ platform.API, changes []platform.Change) error {
	for _, change := range changes {
		r.replace(change.Object.Data)
	}
	return nil
}
