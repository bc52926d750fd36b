package peering

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// Guards against logs that grow with the square of the fleet when all routers start
// together.
func TestRouterChangesAreLoggedInBatches(t *testing.T) {
	var logs strings.Builder
	logger := logrus.New()
	logger.SetOutput(&logs)
	records := &peerLog{logger: logger}
	now := boottime.Now()
	for second := range 3 {
		for i := range 120 {
			records.addReachable(fleet.Address(fmt.Sprintf("10.0.%d.%d:1", second, i)))
			records.log(now.Add(time.Duration(second)*time.Second + time.Duration(i)*time.Millisecond))
		}
	}
	records.addLost("10.0.0.1:1")
	records.log(now.Add(time.Minute))
	lines := strings.Count(logs.String(), "\n")
	if lines > 5 || !strings.Contains(logs.String(), "routers unreachable") || !strings.Contains(logs.String(), "count=119") {
		t.Errorf("%d entries: %s", lines, logs.String())
	}
}
