package rig

import (
	"net"
	"net/http"
	"time"

	"github.com/bluebellchute/bluebellchute/platform"
	"github.com/bluebellchute/bluebellchute/platform/standin"
)

// heartbeat is how often a replica writes its entry.
const heartbeat = 1200 * time.Millisecond

// Entry is what a replica says of itself in the store.
type Entry struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	Cold     int    `json:"cold_remaining_ms"`
	Sequence uint64 `json:"sequence"`
	Born     int64  `json:"born"`
}

// Replica is a stand-in of a replica. It writes its entry every heartbeat until the script
// ends.
type Replica struct {
	ID    string
	store *standin.Store
	entry Entry
}

// Headers of replicas.
const (
	HeaderAttempt    = "X-Bluebellchute-Attempt-Id"
	HeaderExpect     = "X-Bluebellchute-Expect-Replica"
	HeaderReplica    = "X-Bluebellchute-Replica-Id"
	HeaderSignature  = "X-Bluebellchute-Replica-Signature"
	HeaderNotRun     = "X-Bluebellchute-Not-Executed"
	HeaderTokens     = "X-Bluebellchute-Token-Usage"
	HeaderPrefix     = "X-Bluebellchute-Prompt-Prefix"
	HeaderModel      = "X-Bluebellchute-Model"
	HeaderDeadline   = "X-Bluebellchute-Deadline-Ms"
	HeaderKey        = "X-Bluebellchute-Key"
	HeaderLastEvent  = "Last-Event-Id"
	HeaderResumes    = "Resumes"
	HeaderTenant     = "X-Bluebellchute-Tenant"
	HeaderRetryAfter = "Retry-After"
)

// StartReplica serves the handler on a loopback port and registers the replica. The handler is
// called for requests that name the replica, or none, and that have an id; the rest is answered as
// the pages say. The signature and the id are set before it is called.
func StartReplica(id, host string, entry Entry, store *standin.Store, handler http.HandlerFunc) (*Replica, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	entry.Address = listener.Addr().String()
	replica := Register(id, entry, store)
	server := &http.Server{Handler: replica.checked(handler), IdleTimeout: 10 * time.Second, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }() // until the script ends
	return replica, nil
}

// Register registers a replica that is served elsewhere, and writes its entry every heartbeat.
func Register(id string, entry Entry, store *standin.Store) *Replica {
	entry.State, entry.Born = "ready", time.Now().UnixMilli()
	replica := &Replica{ID: id, store: store, entry: entry}
	go replica.beat()
	return replica
}

func (r *Replica) checked(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		attempt := request.Header.Get(HeaderAttempt)
		w.Header().Set(HeaderReplica, r.ID)
		w.Header().Set("Keep-Alive", "timeout=10")
		if attempt != "" {
			w.Header().Set(HeaderAttempt, attempt)
		}
		if expected := request.Header.Get(HeaderExpect); expected != "" && expected != r.ID {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if attempt == "" {
			w.Header().Set(HeaderNotRun, "1")
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		w.Header().Set(HeaderSignature, r.ID+"."+attempt)
		handler(w, request)
	}
}

// beat writes the entry every heartbeat.
func (r *Replica) beat() {
	for {
		r.entry.Sequence++
		r.store.Put(platform.KindServers, r.ID, r.entry)
		time.Sleep(heartbeat)
	}
}
