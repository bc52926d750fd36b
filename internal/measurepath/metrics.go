package measurepath

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Names of the router's metrics.
const (
	metricCPU      = "process_cpu_seconds_total"
	metricResident = "process_resident_memory_bytes"
	metricHeap     = "go_memstats_alloc_bytes"
	metricStack    = "go_memstats_stack_inuse_bytes"
	metricWaiting  = "bluebell_router_waiting_requests"
)

// readMetric reads a metric without labels from the /metrics of the process with
// the control address.
func readMetric(ctx context.Context, address, name string) (float64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return 0, errors.Wrap(err, "metrics")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, errors.Wrap(err, "metrics")
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			number, err := strconv.ParseFloat(value, 64)
			return number, errors.Wrapf(err, "metric %s", name)
		}
	}
	if err := lines.Err(); err != nil {
		return 0, errors.Wrap(err, "metrics")
	}
	return 0, errors.Errorf("%s has no metric %s", address, name)
}
