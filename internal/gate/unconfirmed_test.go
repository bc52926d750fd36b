package gate

import (
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
)

// Guards against a stream that is confirmed at the first version of a server which started twice, with
// another version in between, and doesn't report when: the last process writes the entry of the first
// one anew.
func TestStreamIsNotConfirmedByAnEntryOfALaterProcess(t *testing.T) {
	const born = 1700000000000
	entry := knowledge.Backend{ID: "i-1", Service: "s", Address: "10.0.0.1:80", Version: "v1", Slots: 4, Sequence: 7, Position: knowledge.Position{Revision: 5}}
	for _, test := range []struct {
		name      string
		change    func(first, later *knowledge.Backend)
		confirmed bool
	}{
		{"same entry", func(_, _ *knowledge.Backend) {}, true},
		{"heartbeat", func(_, later *knowledge.Backend) { later.Sequence++ }, true},
		{"written anew", func(_, later *knowledge.Backend) { later.Revision++ }, false},
		{"written anew by the same process", func(first, later *knowledge.Backend) {
			first.StartedAt, later.StartedAt, later.Revision = born, born, 6
		}, true},
		{"by a later process", func(first, later *knowledge.Backend) {
			first.StartedAt, later.StartedAt, later.Revision = born, born+1, 6
		}, false},
		{"another version", func(_, later *knowledge.Backend) { later.Version, later.Revision = "v2", 6 }, false},
		{"restored store", func(_, later *knowledge.Backend) { later.Era, later.Sequence = 1, 1 }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			first, later := entry, entry
			test.change(&first, &later)
			state := knowledge.NewState()
			began := boottime.Now()
			state.SetBackends([]knowledge.Backend{first}, knowledge.Position{Revision: 5}, began.Add(-time.Second))
			backend := state.View().Backends["i-1"]
			var streams unconfirmedStreams
			streams.add(unconfirmedStream{backend: backend, software: state.View().SoftwareID(backend), began: began, until: began.Add(time.Minute)})
			state.SetBackends([]knowledge.Backend{later}, knowledge.Position{Era: later.Era, Revision: 9}, began.Add(time.Millisecond))
			confirmed := streams.confirm(state.View(), began.Add(time.Millisecond), nil)
			if got := len(confirmed) == 1; got != test.confirmed {
				t.Errorf("confirmed: %v", got)
			}
		})
	}
}
