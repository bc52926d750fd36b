package membership

import (
	"context"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/platform"
)

// Register writes a node's own record in place of an earlier one. For the same
// incarnation it keeps the platform's state of the VM: a node that starts to
// drain by itself must not clear it.
func Register(ctx context.Context, api platform.API, record Record) (platform.Version, error) {
	object, err := api.Get(ctx, Key(record.Control))
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return 0, err
	}
	if err == nil {
		known, decodeErr := decodeRecord(object)
		if decodeErr == nil && known.Incarnation == record.Incarnation {
			record.PlatformState = known.PlatformState
		}
	}
	data, err := EncodeRecord(record)
	if err != nil {
		return 0, err
	}
	return api.Put(ctx, Key(record.Control), data, object.Version)
}

// Unregister removes a node's own record if it still belongs to the
// incarnation: a successor at the same address may have registered already.
func Unregister(ctx context.Context, api platform.API, control fleet.Address, incarnation uint64) error {
	object, err := api.Get(ctx, Key(control))
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	known, err := decodeRecord(object)
	if err == nil && known.Incarnation != incarnation {
		return nil
	}
	return api.Delete(ctx, Key(control), object.Version)
}

// Apply executes the conditional write.
func (w Write) Apply(ctx context.Context, api platform.API) error {
	key := Key(w.Record.Control)
	if w.Remove {
		return api.Delete(ctx, key, w.Record.Version)
	}
	data, err := EncodeRecord(w.Record)
	if err != nil {
		return err
	}
	_, err = api.Put(ctx, key, data, w.Record.Version)
	return err
}
