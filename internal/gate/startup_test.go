package gate

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
)

// reasonOf asks the router for anything and returns why it refuses.
func reasonOf(t *testing.T, address string) Reason {
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

// Guards against callers that are refused, and come back late, in the moment in which all
// routers start again and learn what they need.
func TestFirstRequestsWaitForKnowledge(t *testing.T) {
	manager, address := listeningGate(t, 10)
	time.AfterFunc(startupWait/3, func() {
		now := boottime.Now()
		manager.options.State.SetConfiguration(&knowledge.Configuration{Version: 1}, now)
		manager.options.State.SetBackends(nil, knowledge.Position{Revision: 1}, now)
	})
	if reason := reasonOf(t, address); reason == ReasonNoKnowledge {
		t.Error("refused for a lack of knowledge that came meanwhile")
	}
}

// Guards against requests that are held in vain: where nothing comes, they are told so in
// time, and at once after the start.
func TestRequestsAreNotHeldInVain(t *testing.T) {
	_, address := listeningGate(t, 10)
	began := time.Now()
	if reason := reasonOf(t, address); reason != ReasonNoKnowledge || time.Since(began) > 2*startupWait {
		t.Errorf("%s after %v", reason, time.Since(began))
	}
	time.Sleep(startupPeriod)
	began = time.Now()
	if reason := reasonOf(t, address); reason != ReasonNoKnowledge || time.Since(began) > startupWait/2 {
		t.Errorf("%s after %v, long after the start", reason, time.Since(began))
	}
}
