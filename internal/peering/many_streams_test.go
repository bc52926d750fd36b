package peering

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/streamorigin"
)

// Guards against streams that are refused since more callers than are asked for at a time come back
// to a router that has just started and waits for the addresses of the others.
func TestStartingRouterFindsTheOriginsOfManyStreams(t *testing.T) {
	const streams = 4 * maxQueries
	f := newOriginFleet(2, 3)
	began := f.any()
	for stream := range streams {
		began.RecordOrigin(streamorigin.Stream(stream), 8, time.Minute)
	}
	f.lost[began.self] = true
	starting := NewManager(Options{Address: "10.9.9.9:8241", Zone: "z0", State: knowledge.NewState(), Logger: logrus.New(), Directory: &fakeDirectory{}})
	var network Network = originLink{fleet: f}
	starting.origins.network.Store(&network)
	f.routers[starting.self] = starting
	list := time.AfterFunc(maxDirectoryWait/2, func() {
		starting.applyDirectory(t.Context(), lo.MapValues(f.routers, func(router *Manager, _ fleet.Address) fleet.Zone { return router.zone }), 0)
	})
	defer list.Stop()
	var found atomic.Int32
	var finding sync.WaitGroup
	for stream := range streams {
		finding.Go(func() {
			if _, known := starting.FindOrigin(t.Context(), streamorigin.Stream(stream)); known {
				found.Add(1)
			}
		})
	}
	finding.Wait()
	if found.Load() < streams {
		t.Errorf("the origins of %d of %d streams were found", found.Load(), streams)
	}
}
