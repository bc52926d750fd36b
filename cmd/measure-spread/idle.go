package main

import (
	"context"
	"os"
	"runtime"
	"runtime/pprof"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/platform"
)

// idleFigures are the costs of an idle node, as means over the nodes. CPU time and
// memory include the small share of the platform's server, which runs in the same
// process.
type idleFigures struct {
	Seconds             float64            `json:"seconds"`
	BytesPerSecond      float64            `json:"control_bytes_per_node_second"` // in and out
	BytesByClass        map[string]float64 `json:"control_bytes_by_class"`
	CPUPercent          float64            `json:"cpu_percent_of_a_core_per_node"`
	HeapBytes           uint64             `json:"heap_bytes_per_node"`
	ResidentBytes       uint64             `json:"resident_bytes_per_node"`
	Goroutines          int                `json:"goroutines_per_node"`
	PlatformCalls       float64            `json:"platform_calls_per_second"`
	PlatformCallsByKind map[string]float64 `json:"platform_calls_by_kind"`
}

// sample holds the counters at one time.
type sample struct {
	at    time.Time
	bytes map[string]float64
	cpu   time.Duration
	calls map[string]int
}

func (f *testFleet) sample() (sample, error) {
	bytes, err := f.controlBytes()
	return sample{at: time.Now(), bytes: bytes, cpu: cpuTime(), calls: f.platformCalls()}, err
}

func (f *testFleet) measureIdle(ctx context.Context, o options) (idleFigures, error) {
	stop, err := startProfile(o.Profile)
	if err != nil {
		return idleFigures{}, err
	}
	before, err := f.sample()
	if err != nil {
		return idleFigures{}, err
	}
	if err := sleep(ctx, o.Idle); err != nil {
		return idleFigures{}, err
	}
	after, err := f.sample()
	stop()
	if err != nil {
		return idleFigures{}, err
	}
	return f.idleBetween(before, after), nil
}

func (f *testFleet) idleBetween(before, after sample) idleFigures {
	count := float64(len(f.nodes))
	seconds := after.at.Sub(before.at).Seconds()
	figures := idleFigures{
		Seconds:             seconds,
		BytesByClass:        make(map[string]float64),
		PlatformCallsByKind: make(map[string]float64),
		CPUPercent:          100 * (after.cpu - before.cpu).Seconds() / seconds / count,
		Goroutines:          runtime.NumGoroutine() / len(f.nodes),
	}
	for class, bytes := range after.bytes {
		perNode := (bytes - before.bytes[class]) / seconds / count
		if perNode > 0 {
			figures.BytesByClass[class] = perNode
			figures.BytesPerSecond += perNode
		}
	}
	for kind, calls := range after.calls {
		perSecond := float64(calls-before.calls[kind]) / seconds
		figures.PlatformCallsByKind[kind] = perSecond
		figures.PlatformCalls += perSecond
	}
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	figures.HeapBytes = memory.HeapAlloc / uint64(len(f.nodes))
	figures.ResidentBytes = residentBytes() / uint64(len(f.nodes))
	return figures
}

// controlBytes adds up the control traffic of all nodes by class.
func (f *testFleet) controlBytes() (map[string]float64, error) {
	sums := make(map[string]float64)
	for _, node := range f.nodes {
		families, err := node.registry.Gather()
		if err != nil {
			return nil, errors.Wrap(err, "metrics")
		}
		for _, family := range families {
			if family.GetName() != "bluebell_control_bytes_total" {
				continue
			}
			for _, metric := range family.GetMetric() {
				sums[metric.GetLabel()[0].GetValue()] += metric.GetCounter().GetValue()
			}
		}
	}
	return sums, nil
}

func (f *testFleet) platformCalls() map[string]int { return byKind(f.store.Counts()) }

func byKind(counts platform.CallCounts) map[string]int {
	return map[string]int{
		"get": int(counts.Get), "put": int(counts.Put), "delete": int(counts.Delete),
		"list": int(counts.List), "watch": int(counts.Watch), "vms": int(counts.VMs),
	}
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// residentBytes returns the peak resident size of this process.
func residentBytes() uint64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	const kilobyte = 1024
	return uint64(usage.Maxrss) * kilobyte
}

// startProfile writes a CPU profile until the returned function is called.
func startProfile(path string) (func(), error) {
	if path == "" {
		return func() {}, nil
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, errors.Wrap(err, "CPU profile")
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		return nil, errors.Wrap(err, "CPU profile")
	}
	return func() {
		pprof.StopCPUProfile()
		_ = file.Close()
	}, nil
}
