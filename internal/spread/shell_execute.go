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
	// syncTimeout bounds a request to a peer. A peer that is asked for news
	// and hangs must not hold it up: another one is asked after it.
	syncTimeout = 1500 * time.Millisecond
	// platformTimeout bounds a platform call beyond what it may be held for.
	platformTimeout = 3 * time.Second
)

// execute carries out one command. Calls run in goroutines of their own; their
// number is bounded by the world, which has one of each kind under way.
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
		m.takeVerdicts(command)
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

// call runs a call and hands its event to the world.
func (m *Manager) call(run func(ctx context.Context) Event) {
	m.calls.Go(func() {
		if ended := run(m.running); ended != nil {
			m.loop.Send(ended)
		}
	})
}

func (m *Manager) takeVerdicts(command VerdictsChanged) {
	m.mu.Lock()
	m.verdicts = command.Verdicts
	m.mu.Unlock()
	m.stamp.setDigest(command.Digest)
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
	m.logPlatform("load "+command.Document.String(), err)
	return LoadEnded{Document: command.Document, Version: version, Err: err}
}

// loadReplica reads a document and returns the version from which to watch.
// After a compaction a list gives one that the platform surely still has. It
// comes before the read, so that no change falls between the two.
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
	m.logPlatform("watch "+command.Document.String(), err)
	return WatchEnded{Document: command.Document, Version: upTo, Err: err}
}

func (m *Manager) readVMs(ctx context.Context) Event {
	bounded, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	vms, err := m.platform.VMs(bounded)
	m.logPlatform("list of VMs", err)
	return VMsRead{VMs: vms, Err: err}
}

func (m *Manager) register(ctx context.Context, command Register) Event {
	bounded, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	version, err := membership.Register(bounded, m.platform, command.Record)
	m.logPlatform("register", err)
	return RegisterEnded{Leaving: command.Record.Leaving(), Version: version, Err: err}
}

// writeRecord makes a keeper's write. A conflict is as good as a success: the
// record changed meanwhile, and the next reading decides anew.
func (m *Manager) writeRecord(ctx context.Context, command WriteRecord) Event {
	bounded, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	err := command.Write.Apply(bounded, m.platform)
	event.NodeRecordUpdated.Log(m.options.Logger, logrus.Fields{
		"node": string(command.Write.Record.Control), "removed": command.Write.Remove, "error": errorText(err),
	})
	return nil
}

// logPlatform writes down a platform call that failed. A watch that must start
// again is no failure.
func (m *Manager) logPlatform(what string, err error) {
	if err == nil || m.running.Err() != nil || isCompacted(err) {
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
