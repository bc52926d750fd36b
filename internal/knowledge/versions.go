package knowledge

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// SoftwareID identifies a service at one version of its software, 0 for none. A stream goes
// on only at backend servers with the SoftwareID of the one that began it.
type SoftwareID uint64

// VersionHistory is how far back software versions that are no longer listed are remembered.
const VersionHistory = 10 * time.Minute

// maxFormerVersions bounds the versions that are remembered. Beyond it all are forgotten, and
// the history counts as known only since then.
const maxFormerVersions = 256

// versionLog is what a router knows of the software versions that backend servers had.
type versionLog struct {
	// since is the time from which on no version was listed without being noticed, 0 for ever:
	// the fleet is new.
	since boottime.Instant
	// unlisted is when each version was last listed that is not listed any more.
	unlisted map[SoftwareID]formerVersion
}

// formerVersion is a software version that is not listed any more.
type formerVersion struct {
	service  uint64 // hash of its name
	unlisted boottime.Instant
}

// softwareID returns the ID of a service at a version.
func softwareID(service fleet.Service, version string) SoftwareID {
	return SoftwareID(xxhash.Sum64String(string(service) + "\x00" + version))
}

// ServiceHash returns the hash by which routers refer to a service.
func ServiceHash(service fleet.Service) uint64 { return xxhash.Sum64String(string(service)) }

// SoftwareID returns the ID of the backend server's software. A server whose entry leaves its
// version out may have any, so it shares its ID with no other, unless the service states no
// versions at all.
func (v *View) SoftwareID(backend *Backend) SoftwareID {
	if backend.Version == "" && v.statesVersions(backend.Service) {
		return softwareID(backend.Service, "\x00"+backend.Incarnation)
	}
	return backend.softwareID
}

// statesVersions reports whether a backend server of the service states its version, or has
// done so lately.
func (v *View) statesVersions(service fleet.Service) bool {
	if v.versioned[service] {
		return true
	}
	hash := ServiceHash(service)
	for id, former := range v.versions.unlisted {
		if former.service == hash && id != softwareID(service, "") {
			return true
		}
	}
	return false
}

// OnlySoftware returns the ID of the software of the services if all their backend servers
// have had the same within the window before now, as far as the router can tell. It returns 0
// if they have not, or if the router's list is older than maxAge.
func (v *View) OnlySoftware(services []fleet.Service, window, maxAge time.Duration, now boottime.Instant) SoftwareID {
	if window > VersionHistory || now.Sub(v.ListConfirmedAt) > maxAge || now.Sub(v.versions.since) < window && v.versions.since != 0 {
		return 0
	}
	var only SoftwareID
	for _, service := range services {
		for _, backend := range v.ByService[service] {
			id := v.SoftwareID(backend)
			if only != 0 && id != only {
				return 0
			}
			only = id
		}
		for id, former := range v.versions.unlisted {
			if former.service == ServiceHash(service) && id != only && now.Sub(former.unlisted) <= window {
				return 0
			}
		}
	}
	return only
}

// noteVersionGap is called before a list that was complete at confirmedAt replaces or confirms
// the current one. If this is the first list, or if the last one was confirmed long before,
// versions may have been listed unnoticed.
func (v *View) noteVersionGap(confirmedAt, now boottime.Instant) {
	first := v.ListConfirmedAt == 0
	newFleet := v.newFleetAt != 0 && now.Sub(v.newFleetAt) <= newFleetTime
	if first && !newFleet || !first && confirmedAt.Sub(v.ListConfirmedAt) > v.outageAge {
		v.versions.since = now
	}
}

// recordVersions records which software versions of the view before are not listed any more.
func (v *View) recordVersions(before *View, now boottime.Instant) {
	log := versionLog{since: v.versions.since, unlisted: make(map[SoftwareID]formerVersion)}
	for id, former := range v.versions.unlisted {
		if now.Sub(former.unlisted) <= VersionHistory {
			log.unlisted[id] = former
		}
	}
	for _, backend := range before.Backends {
		log.unlisted[before.SoftwareID(backend)] = formerVersion{service: ServiceHash(backend.Service), unlisted: now}
	}
	if len(log.unlisted) > maxFormerVersions {
		log.unlisted, log.since = make(map[SoftwareID]formerVersion), now
	}
	v.versions = log
	for _, backend := range v.Backends {
		delete(log.unlisted, v.SoftwareID(backend))
	}
}

// recordPassingVersions records the versions of entries that a batch of changes added and
// removed again.
func (v *View) recordPassingVersions(changes []BackendChange, now boottime.Instant) {
	var passed []FormerVersion
	for _, change := range changes {
		if change.Entry != nil && change.Entry.Version != "" {
			id := softwareID(change.Entry.Service, change.Entry.Version)
			passed = append(passed, FormerVersion{Software: id, Service: ServiceHash(change.Entry.Service), Unlisted: now})
		}
	}
	if len(passed) > 0 {
		v.addFormerVersions(passed)
	}
}

// FormerVersion is a software version that a router remembers.
type FormerVersion struct {
	Software SoftwareID
	Service  uint64 // see ServiceHash
	Unlisted boottime.Instant
}

// FormerVersions returns the software versions that were listed within VersionHistory and are
// not any more, and since when the router would have noticed each, 0 for ever.
func (v *View) FormerVersions(now boottime.Instant) (former []FormerVersion, since boottime.Instant) {
	for id, version := range v.versions.unlisted {
		if now.Sub(version.unlisted) <= VersionHistory {
			former = append(former, FormerVersion{Software: id, Service: version.service, Unlisted: version.unlisted})
		}
	}
	return former, v.versions.since
}

// AddFormerVersions adds what another router remembers. since is the time from which it would
// have noticed each version. It is used only if the other router's list was complete after the
// time completeAfter, and this router's own record does not begin later.
func (s *State) AddFormerVersions(former []FormerVersion, since, completeAfter boottime.Instant) {
	s.update(func(view *View) bool {
		complete := view.addFormerVersions(former)
		if own := view.versions.since; complete && own != 0 && since < own && own <= completeAfter {
			view.versions.since = since
		}
		return false
	})
}

// addFormerVersions adds versions that are not listed. It reports whether all could be added.
func (v *View) addFormerVersions(added []FormerVersion) bool {
	unlisted := maps.Clone(v.versions.unlisted)
	if unlisted == nil {
		unlisted = make(map[SoftwareID]formerVersion)
	}
	complete := true
	for _, version := range added {
		known, found := unlisted[version.Software]
		switch {
		case v.listsSoftware(version.Software) || found && known.unlisted >= version.Unlisted:
		case !found && len(unlisted) >= maxFormerVersions:
			complete = false
		default:
			unlisted[version.Software] = formerVersion{service: version.Service, unlisted: version.Unlisted}
		}
	}
	v.versions.unlisted = unlisted
	return complete
}

// HasSoftware reports whether a backend server of the service has the software.
func (v *View) HasSoftware(service fleet.Service, id SoftwareID) bool {
	return lo.SomeBy(v.ByService[service], func(backend *Backend) bool { return v.SoftwareID(backend) == id })
}

// listsSoftware reports whether a backend server of any service has the software.
func (v *View) listsSoftware(id SoftwareID) bool {
	return lo.SomeBy(lo.Keys(v.ByService), func(service fleet.Service) bool { return v.HasSoftware(service, id) })
}

// newFleetTime is how long after the start of a new fleet no version can have come and gone. A
// router that gets its first list later may have missed some.
const newFleetTime = 10 * time.Second

// SetNewFleet states that the whole fleet starts now and for the first time: no backend server
// has served anyone. It must be called before the first list is applied.
func (s *State) SetNewFleet() {
	s.update(func(view *View) bool {
		view.newFleetAt = boottime.Now()
		return false
	})
}
