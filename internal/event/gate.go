package event

import "github.com/sirupsen/logrus"

// Events of gates, 2101 to 2199.
var (
	GateAnswered              = Event{2101, logrus.InfoLevel, "request answered"}
	GateRefused               = Event{2102, logrus.InfoLevel, "request refused"}
	GateDeclined              = Event{2103, logrus.InfoLevel, "backend server declined a request"}
	GateSendFailed            = Event{2104, logrus.WarnLevel, "request failed at a backend server"}
	GateBadAnswer             = Event{2105, logrus.WarnLevel, "answer of a backend server is not usable"}
	GateStreamAborted         = Event{2106, logrus.WarnLevel, "stream broken off"}
	GateCallerDisconnected    = Event{2107, logrus.InfoLevel, "caller left"}
	GateRecordsSuppressed     = Event{2108, logrus.InfoLevel, "log records left out"}
	GateConfigurationApplied  = Event{2110, logrus.InfoLevel, "configuration in force"}
	GateBackendsChanged       = Event{2111, logrus.InfoLevel, "list of backend servers changed"}
	GateReadinessChanged      = Event{2112, logrus.InfoLevel, "readiness changed"}
	GateStoreUnreachable      = Event{2113, logrus.WarnLevel, "store can't be reached"}
	GateStoreReachable        = Event{2114, logrus.InfoLevel, "store is reached again"}
	GatePeersReachable        = Event{2115, logrus.InfoLevel, "routers heard"}
	GatePeersUnreachable      = Event{2116, logrus.WarnLevel, "routers no longer heard"}
	GateStatePulled           = Event{2117, logrus.InfoLevel, "knowledge taken from another router"}
	GateReloaded              = Event{2118, logrus.InfoLevel, "settings file read again"}
	GateReloadFailed          = Event{2119, logrus.ErrorLevel, "settings file can't be used, the former settings stay"}
	GateStoreCallFailed       = Event{2120, logrus.WarnLevel, "call to the store failed"}
	GateBackendFailed         = Event{2109, logrus.InfoLevel, "backend server answered with a failure of its own"}
	GateEntryInvalid          = Event{2122, logrus.WarnLevel, "entry in the store can't be used"}
	GateRequestCounts         = Event{2124, logrus.InfoLevel, "requests of the last second"}
	GateLoadShed              = Event{2125, logrus.WarnLevel, "connections were turned away"}
	GateBackendRestarted      = Event{2123, logrus.InfoLevel, "backend server started again under its id"}
	GateEvacuationsChanged    = Event{2126, logrus.WarnLevel, "evacuated availability zones changed"}
	GateStoreRestored         = Event{2128, logrus.WarnLevel, "store has come back from an older copy"}
	GateBackendDraining       = Event{2129, logrus.InfoLevel, "backend server says that it leaves"}
	GateBackendUnavailable    = Event{2130, logrus.InfoLevel, "backend server wants nothing for a time"}
	GateStoreCalls            = Event{2131, logrus.InfoLevel, "calls to the store of the last seconds"}
	GatePeerTraffic           = Event{2132, logrus.InfoLevel, "bytes between routers of the last seconds"}
	GateEnginePace            = Event{2133, logrus.InfoLevel, "pace of a backend server has changed"}
	GateConnections           = Event{2134, logrus.InfoLevel, "connections to backend servers opened in the last seconds"}
	GateHistoryMissing        = Event{2127, logrus.InfoLevel, "store has no changes since the known revision"}
	GateDisconnectsClassified = Event{2135, logrus.InfoLevel, "broken connections to a backend server judged"}
	GateAdmittedWhileDraining = Event{2136, logrus.InfoLevel, "request taken late in draining"}
	GateAbortedByDrain        = Event{2137, logrus.WarnLevel, "requests in progress ended with draining"}
	GateDrainOrdered          = Event{2121, logrus.InfoLevel, "operator ordered a change of draining"}
)
