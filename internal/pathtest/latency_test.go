package pathtest

import (
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/engine"
)

// Variables that point the comparison at running processes in place of a fleet
// in the test's own process.
const (
	directVariable = "BLUEBELL_DIRECT_URL" // of a plain backend server
	routerVariable = "BLUEBELL_ROUTER_URL" // of a router, with the path of the service
)

// BenchmarkAddedLatency compares an unloaded plain call through router and
// agent with a direct call to the same backend server, in turn.
func BenchmarkAddedLatency(b *testing.B) {
	direct, routed := os.Getenv(directVariable), os.Getenv(routerVariable)
	if direct == "" {
		l := newLive(b)
		backend := l.addAgent("app", engine.Config{Plain: true, Slots: 8}, nil)
		base := l.addRouter()
		l.begin(base)
		direct, routed = "http://"+backend.Address()+"/lap", base+"/svc/app/lap"
	}
	var times [2][]time.Duration
	for range b.N {
		for i, url := range []string{direct, routed} {
			times[i] = append(times[i], timed(b, url))
		}
	}
	for _, at := range []float64{0.5, 0.99} {
		added := quantile(times[1], at) - quantile(times[0], at)
		b.ReportMetric(float64(added.Microseconds()), "added-p"+quantileName(at)+"-us")
		b.ReportMetric(float64(quantile(times[0], at).Microseconds()), "direct-p"+quantileName(at)+"-us")
	}
}

func timed(b *testing.B, url string) time.Duration {
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader("{}"))
	if err != nil {
		b.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+apiKey)
	request.Header.Set("X-Work-Ms", "1")
	began := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	// A body that is not read to its end costs the connection.
	_, _ = io.Copy(io.Discard, response.Body)
	took := time.Since(began)
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		b.Fatalf("status %d", response.StatusCode)
	}
	return took
}

func quantile(times []time.Duration, at float64) time.Duration {
	sorted := slices.Sorted(slices.Values(times))
	return sorted[min(len(sorted)-1, int(at*float64(len(sorted))))]
}

func quantileName(at float64) string {
	if at == 0.5 {
		return "50"
	}
	return "99"
}
