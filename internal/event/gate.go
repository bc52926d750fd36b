package event

import "github.com/sirupsen/logrus"

// Events of the gate program, 2101 to 2199.
var (
	GateAnswered              = Event{2101, logrus.InfoLevel, "request answered"}
	GateRefused               = Event{2102, logrus.InfoLevel, "request refused"}
	GateDeclined              = Event{2103, logrus.InfoLevel, "backend server declined a request"}
	GateSendFailed            = Event{2104, logrus.WarnLevel, "request failed at a backend server"}
	GateBadAnswer             = Event{2105, logrus.WarnLevel, "unusable answer from a backend server"}
	GateStreamAborted         = Event{2106, logrus.WarnLevel, "stream aborted"}
	GateCallerDisconnected    = Event{2107, logrus.InfoLevel, "caller disconnected"}
	GateRecordsSuppressed     = Event{2108, logrus.InfoLevel, "log records suppressed"}
	GateConfigurationApplied  = Event{2110, logrus.InfoLevel, "configuration in force"}
	GateBackendsChanged       = Event{2111, logrus.InfoLevel, "list of backend servers changed"}
	GateReadinessChanged      = Event{2112, logrus.InfoLevel, "readiness changed"}
	GateStoreUnreachable      = Event{2113, logrus.WarnLevel, "store is unreachable"}
	GateStoreReachable        = Event{2114, logrus.InfoLevel, "store is reachable again"}
	GatePeersReachable        = Event{2115, logrus.InfoLevel, "routers reachable"}
	GatePeersUnreachable      = Event{2116, logrus.WarnLevel, "routers unreachable"}
	GateStatePulled           = Event{2117, logrus.InfoLevel, "fleet state fetched from another router"}
	GateReloaded              = Event{2118, logrus.InfoLevel, "settings file reloaded"}
	GateReloadFailed          = Event{2119, logrus.ErrorLevel, "settings file is invalid: the previous settings stay in force"}
	GateStoreCallFailed       = Event{2120, logrus.WarnLevel, "call to the store failed"}
	GateBackendFailed         = Event{2109, logrus.InfoLevel, "backend server answered with a failure of its own"}
	GateEntryInvalid          = Event{2122, logrus.WarnLevel, "invalid entry in the store"}
	GateRequestCounts         = Event{2124, logrus.InfoLevel, "request counts of the last second"}
	GateLoadShed              = Event{2125, logrus.WarnLevel, "connections refused while overloaded"}
	GateBackendRestarted      = Event{2123, logrus.InfoLevel, "backend server restarted under its ID"}
	GateEvacuationsChanged    = Event{2126, logrus.WarnLevel, "evacuated availability zones changed"}
	GateStoreRestored         = Event{2128, logrus.WarnLevel, "store was restored from an older copy"}
	GateBackendDraining       = Event{2129, logrus.InfoLevel, "backend server reports that it is draining"}
	GateBackendUnavailable    = Event{2130, logrus.InfoLevel, "backend server rejects new requests for a time"}
	GateStoreCalls            = Event{2131, logrus.InfoLevel, "calls to the store in the last seconds"}
	GatePeerTraffic           = Event{2132, logrus.InfoLevel, "bytes between routers in the last seconds"}
	GateEnginePace            = Event{2133, logrus.InfoLevel, "pace of a backend server changed"}
	GateConnections           = Event{2134, logrus.InfoLevel, "connections opened to backend servers in the last seconds"}
	GateHistoryMissing        = Event{2127, logrus.InfoLevel, "store has no history since the known revision"}
	GateDisconnectsClassified = Event{2135, logrus.InfoLevel, "broken connections to a backend server classified"}
	GateAdmittedWhileDraining = Event{2136, logrus.InfoLevel, "request accepted late in the drain"}
	GateAbortedByDrain        = Event{2137, logrus.WarnLevel, "requests aborted at the end of the drain"}
	GateStopHandledLate       = Event{2138, logrus.WarnLevel, "stop signal handled after a stall"}
	GateSegmentRefused        = Event{2139, logrus.WarnLevel, "prompt segment crashes backend servers: requests with it are refused"}
	GateSegmentAllowed        = Event{2140, logrus.WarnLevel, "prompt segment is no longer refused"}
	GateSegmentCleared        = Event{2141, logrus.WarnLevel, "operator cleared a prompt segment"}
	GateSegmentTried          = Event{2142, logrus.InfoLevel, "request sent to find out whether its refused prompt segments are sound"}
	GateListenerClosed        = Event{2143, logrus.InfoLevel, "listener closed"}
	GateClosedUnread          = Event{2144, logrus.WarnLevel, "connection closed with unread bytes"}
	GateClosedInProgress      = Event{2145, logrus.WarnLevel, "connections closed with requests in progress at the end of the drain"}
	GatePanicked              = Event{2146, logrus.ErrorLevel, "request handler panicked"}
	GateNotListening          = Event{2147, logrus.WarnLevel, "listener could not be opened again"}
	GateNewestKnown           = Event{2148, logrus.InfoLevel, "newest configuration found at the start"}
	GateNewestMissing         = Event{2149, logrus.WarnLevel, "newest configuration not found at the start"}
	GateOriginsRead           = Event{2150, logrus.InfoLevel, "records of where streams began read from the store"}
	GateSegmentsRead          = Event{2151, logrus.InfoLevel, "refused prompt segments read from the store"}
	GateDrainOrdered          = Event{2121, logrus.InfoLevel, "operator changed the drain state"}
)
