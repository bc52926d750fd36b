package gate

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
)

// refusalReason sends a request to the router and returns the reason of its refusal.
func refusalReason(t *testing.T, address string) Reason {
	t.Helper()
	response, err := http.Get("http://" + address + "/x")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var refusal refusalBody
	if err := json.NewDecoder(response.Body).Decode(&refusal); err != nil {
		t.Fatal(err)
	}
	return refusal.Error
}

// Guards against refusing callers, who then come back late, during the short time in which
// all routers restart and fetch the fleet state.
func TestFirstRequestsWaitForFleetState(t *testing.T) {
	manager, address := listeningGate(t, 10)
	time.AfterFunc(startupWait/3, func() {
		now := boottime.Now()
		manager.options.State.SetConfiguration(&knowledge.Configuration{Version: 1}, now)
		manager.options.State.SetBackends(nil, knowledge.Position{Revision: 1}, now)
	})
	if reason := refusalReason(t, address); reason == ReasonNoKnowledge {
		t.Error("refused for a lack of fleet state that has arrived meanwhile")
	}
}

// Guards against holding requests for too long: if no fleet state arrives they are refused
// after startupWait, and immediately once startupPeriod is over.
func TestRequestsAreRefusedWhenNoFleetStateArrives(t *testing.T) {
	_, address := listeningGate(t, 10)
	began := time.Now()
	if reason := refusalReason(t, address); reason != ReasonNoKnowledge || time.Since(began) > 2*startupWait {
		t.Errorf("%s after %v", reason, time.Since(began))
	}
	time.Sleep(startupPeriod)
	began = time.Now()
	if reason := refusalReason(t, address); reason != ReasonNoKnowledge || time.Since(began) > startupWait/2 {
		t.Errorf("%s after %v, long after the start", reason, time.Since(began))
	}
}
