package spread

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bluebellchute/bluebellchute/internal/event"
	"github.com/bluebellchute/bluebellchute/internal/membership"
	"github.com/bluebellchute/bluebellchute/internal/platform"
)

const (
	// syncTimeout limits a request to a peer. If a peer hangs, another one has
	// to be asked soon.
	syncTimeout = 1500 * time.Millisecond
	// platformTimeout limits a platform call, in addition to the time for which
	// the platform may hold it.
	platformTimeout = 3 * time.Second
)

// execute carries out one command. Calls run in their own goroutines; World
// limits their number, since it has at most one call of each kind in progress.
func (m *Manager) execute(command Command) {
	switch command := command.(type) {
	case Sync:
		m.metrics.syncs[command.Reason].Inc()
		m.call(func(ctx context.Context) Event { return m.sync(ctx, command) })
	case Reply:
		m.replies.answer(command)
	case Load:
		m.call(func(ctx context.Context) Event { return m.load(ctx, command) })
	case Watch:
		m.call(func(ctx context.Context) Event { return m.watch(ctx, command) })
	case ReadVMs:
		m.call(m.readVMs)
	case Register:
		m.call(func(ctx context.Context) Event { return m.register(ctx, command) })
	case WriteRecord:
		m.call(func(ctx context.Context) Event { return m.writeRecord(ctx, command) })
	case RevisionAdvanced:
		event.RevisionAdvanced.Log(m.options.Logger, logrus.Fields{
			"document": command.Document.String(), "revision": command.Revision,
		})
		m.notify()
	case VerdictsChanged:
		m.setVerdicts(command)
	case Joined:
		event.Joined.Log(m.options.Logger, nil)
		close(m.joined)
		m.notify()
	case DeltaRejected:
		event.DeltaRejected.Log(m.options.Logger, logrus.Fields{
			"document": command.Document.String(), "peer": string(command.From), "error": command.Err.Error(),
		})
	}
}

// call runs a call and sends its event to World.
func (m *Manager) call(run func(ctx context.Context) Event) {
	m.calls.Go(func() {
		if ended := run(m.runContext); ended != nil {
			m.loop.Send(ended)
		}
	})
}

func (m *Manager) setVerdicts(command VerdictsChanged) {
	m.mu.Lock()
	m.verdicts = command.Verdicts
	m.mu.Unlock()
	m.envelopes.setDigest(command.Digest)
	m.notify()
}

func (m *Manager) sync(ctx context.Context, command Sync) Event {
	bounded, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	reply, err := m.options.Peers.Peer(command.To).Sync(bounded, command.Request)
	return SyncEnded{To: command.To, Reply: reply, Err: err}
}

func (m *Manager) load(ctx context.Context, command Load) Event {
	bounded, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	version, err := loadReplica(bounded, m.platform, m.replicas[command.Document], command.Compacted)
	m.logPlatformError("load "+command.Document.String(), err)
	return LoadEnded{Document: command.Document, Version: version, Err: err}
}

// loadReplica reads a document and returns the version from which to watch.
// After a compaction it lists first, since the version of a list is certain to
// be available for a watch. The list precedes the load so that no change is
// lost between the two.
func loadReplica(ctx context.Context, api platform.API, replica Replica, compacted bool) (platform.Version, error) {
	var listed platform.Version
	if compacted {
		_, at, err := api.List(ctx, replica.WatchPrefix())
		if err != nil {
			return 0, err
		}
		listed = at
	}
	version, err := replica.Load(ctx, api)
	return max(version, listed), err
}

func (m *Manager) watch(ctx context.Context, command Watch) Event {
	bounded, cancel := context.WithTimeout(ctx, m.config.WatchWait+platformTimeout)
	defer cancel()
	replica := m.replicas[command.Document]
	changes, upTo, err := m.platform.Watch(bounded, replica.WatchPrefix(), command.From, m.config.WatchWait)
	if err == nil && len(changes) > 0 {
		err = replica.ApplyChanges(bounded, m.platform, changes)
	}
	m.logPlatformError("watch "+command.Document.String(), err)
	return WatchEnded{Document: command.Document, Version: upTo, Err: err}
}

func (m *Manager) readVMs(ctx context.Context) Event {
	bounded, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	vms, err := m.platform.VMs(bounded)
	m.logPlatformError("list of VMs", err)
	return VMsRead{VMs: vms, Err: err}
}

func (m *Manager) register(ctx context.Context, command Register) Event {
	bounded, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	version, err := membership.Register(bounded, m.platform, command.Record)
	m.logPlatformError("register", err)
	return RegisterEnded{Leaving: command.Record.Leaving(), Version: version, Err: err}
}

// writeRecord executes a write of the reconciler. A conflict is harmless: the
// record has changed in the meantime, and the next reading decides again.
func (m *Manager) writeRecord(ctx context.Context, command WriteRecord) Event {
	bounded, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	err := command.Write.Apply(bounded, m.platform)
	event.NodeRecordUpdated.Log(m.options.Logger, logrus.Fields{
		"node": string(command.Write.Record.Control), "removed": command.Write.Remove, "error": errorText(err),
	})
	return nil
}

// logPlatformError logs a failed platform call. A compacted watch is no
// failure; it starts again.
func (m *Manager) logPlatformError(what string, err error) {
	if err == nil || m.runContext.Err() != nil || isCompacted(err) {
		return
	}
	event.PlatformCallFailed.Log(m.options.Logger, logrus.Fields{"call": what, "error": err.Error()})
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

var _ platform.API = countingAPI{}
