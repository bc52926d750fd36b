package control

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"
)

// Guards against framing that makes up half of the control traffic: with calls seconds
// apart on one connection, a header that changes each second is sent uncompressed with
// every reply.
func TestRepliesCarryNoDate(t *testing.T) {
	n := startNode(t)
	pool := NewPool("secret", NewMetrics(prometheus.NewRegistry()))
	defer pool.Close()
	response, err := pool.client(pool.transport).Get(baseURL(n.address) + "/healthz")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if date := response.Header.Get(dateHeader); date != "" {
		t.Fatalf("the reply carries the date %q", date)
	}
}

// BenchmarkCall measures the CPU time of one small call, client and server together.
func BenchmarkCall(b *testing.B) {
	n := startNode(b)
	pool := NewPool("secret", NewMetrics(prometheus.NewRegistry()))
	defer pool.Close()
	b.ReportAllocs()
	for b.Loop() {
		if err := status(pool, n.address); err != nil {
			b.Fatal(err)
		}
	}
}
