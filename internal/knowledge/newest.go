package knowledge

// A store restored from an older copy returns an older configuration than the one that other
// routers have. A router that has just started can't tell: it would accept keys that have been
// withdrawn since the copy. So it asks the other routers before it is ready.

// AwaitPeers makes the state not ready until EndPeerWait, unless the whole fleet is new.
func (s *State) AwaitPeers() {
	s.update(func(view *View) bool {
		view.awaitsPeers = true
		return false
	})
}

// EndPeerWait ends the wait for other routers. version is that of the newest configuration known
// to the one that was asked, 0 if there is none; the state is ready once it has it or a newer
// one. It reports whether the state was waiting.
func (s *State) EndPeerWait(version uint64) (waited bool) {
	if !s.View().AwaitsPeers() {
		return false // true of nearly all heartbeats; an update would copy the view
	}
	s.update(func(view *View) bool {
		waited = view.AwaitsPeers()
		if waited {
			view.awaitsPeers, view.peerVersion = false, version
		}
		return waited
	})
	return waited
}

// ForgetPeerVersion makes the state ready without the configuration that another router has.
func (s *State) ForgetPeerVersion() {
	s.update(func(view *View) bool {
		view.peerVersion = 0
		return true
	})
}

// AwaitsPeers reports whether another router may have a newer configuration than the store.
func (v *View) AwaitsPeers() bool { return v.awaitsPeers && v.newFleetAt == 0 }

// KnowsNewest reports whether no other router is known to have, or may have, a newer configuration
// from before this process started.
func (v *View) KnowsNewest() bool { return !v.AwaitsPeers() && v.Version() >= v.peerVersion }
