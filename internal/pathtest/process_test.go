package pathtest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// metricsVariable names the control address of the running router that
// routerVariable points at. The benchmarks of this file measure a process and
// do nothing without one.
const metricsVariable = "BLUEBELL_ROUTER_METRICS"

// metric reads one value from the router's /metrics.
func metric(b *testing.B, name string) float64 {
	b.Helper()
	response, err := http.Get("http://" + os.Getenv(metricsVariable) + "/metrics")
	if err != nil {
		b.Fatal(err)
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			number, err := strconv.ParseFloat(value, 64)
			if err != nil {
				b.Fatal(err)
			}
			return number
		}
	}
	b.Fatalf("no metric %s", name)
	return 0
}

// BenchmarkRouterThroughput measures the processor time that one plain call
// costs a router, with 64 callers.
func BenchmarkRouterThroughput(b *testing.B) {
	url := os.Getenv(routerVariable)
	if os.Getenv(metricsVariable) == "" {
		b.Skip("no running router is named")
	}
	const callers = 64
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	before, began := metric(b, "process_cpu_seconds_total"), time.Now()
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for n := caller; n < b.N; n += callers {
				post(b, client, url)
			}
		})
	}
	group.Wait()
	took := time.Since(began).Seconds()
	used := metric(b, "process_cpu_seconds_total") - before
	b.ReportMetric(float64(b.N)/took, "requests/s")
	b.ReportMetric(float64(b.N)/used, "requests/core-s")
	b.ReportMetric(used/took, "cores")
}

func post(b *testing.B, client *http.Client, url string) {
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader("{}"))
	if err != nil {
		b.Error(err)
		return
	}
	request.Header.Set("Authorization", "Bearer "+apiKey)
	request.Header.Set("X-Work-Ms", "1")
	response, err := client.Do(request)
	if err != nil {
		b.Error(err)
		return
	}
	// A body that is not read to its end costs the connection.
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		b.Errorf("status %d", response.StatusCode)
	}
}

// BenchmarkWaitingMemory measures the memory of a router while b.N requests of
// 4 KB wait. The service must have few slots and long calls.
func BenchmarkWaitingMemory(b *testing.B) {
	url := os.Getenv(routerVariable)
	if os.Getenv(metricsVariable) == "" {
		b.Skip("no running router is named")
	}
	before := metric(b, "process_resident_memory_bytes")
	address, path, _ := strings.Cut(strings.TrimPrefix(url, "http://"), "/")
	text := "POST /" + path + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + apiKey +
		"\r\nX-Work-Ms: 30000\r\nContent-Length: 4096\r\n\r\n" + strings.Repeat("x", 4096)
	for range b.N {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			b.Fatal(err)
		}
		defer conn.Close()
		if _, err := conn.Write([]byte(text)); err != nil {
			b.Fatal(err)
		}
	}
	waiting := 0.0
	for deadline := time.Now().Add(patience); waiting < 0.98*float64(b.N) && time.Now().Before(deadline); {
		time.Sleep(100 * time.Millisecond)
		waiting = metric(b, "bluebell_router_waiting_requests")
	}
	resident := metric(b, "process_resident_memory_bytes")
	b.ReportMetric(waiting, "waiting")
	b.ReportMetric(resident/(1<<20), "resident-MiB")
	b.ReportMetric((resident-before)/max(1, waiting), "resident-B/request")
	// What the runtime has freed goes back to the machine with a delay.
	time.Sleep(10 * time.Second)
	b.ReportMetric(metric(b, "process_resident_memory_bytes")/(1<<20), "later-MiB")
	b.ReportMetric(metric(b, "go_memstats_alloc_bytes")/max(1, waiting), "heap-B/request")
	b.ReportMetric(metric(b, "go_memstats_stack_inuse_bytes")/max(1, waiting), "stack-B/request")
}
