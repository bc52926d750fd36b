package load

import (
	"bytes"
	"context"
	"slices"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// Names of the metrics that are read from the nodes.
const (
	metricControlBytes = "bluebell_control_bytes_total"
	metricCPU          = "process_cpu_seconds_total"
	metricMemory       = "process_resident_memory_bytes"
	labelClass         = "class"
)

// scrapeClass is the class of the readings of metrics and health, which are
// not messages between the system's own processes.
const scrapeClass = "scrape"

// sample is one reading of a node's metrics.
type sample struct {
	bytesByClass map[string]float64
	cpuSeconds   float64
	memory       float64
}

// readNode reads a node's metrics.
func readNode(address fleet.Address) (sample, error) {
	body, err := get(address, "/metrics")
	if err != nil {
		return sample{}, err
	}
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(body))
	if err != nil {
		return sample{}, err
	}
	bytesByClass := byLabel(families[metricControlBytes], labelClass)
	delete(bytesByClass, scrapeClass)
	return sample{
		bytesByClass: bytesByClass,
		cpuSeconds:   first(families[metricCPU]),
		memory:       first(families[metricMemory]),
	}, nil
}

// byLabel sums a family's values by one label.
func byLabel(family *dto.MetricFamily, label string) map[string]float64 {
	sums := make(map[string]float64)
	for _, metric := range family.GetMetric() {
		for _, pair := range metric.GetLabel() {
			if pair.GetName() == label {
				sums[pair.GetValue()] += value(metric)
			}
		}
	}
	return sums
}

func first(family *dto.MetricFamily) float64 {
	for _, metric := range family.GetMetric() {
		return value(metric)
	}
	return 0
}

func value(metric *dto.Metric) float64 {
	return metric.GetCounter().GetValue() + metric.GetGauge().GetValue() + metric.GetUntyped().GetValue()
}

// Spread is a figure over the nodes of a role.
type Spread struct {
	Median float64 `json:"median"`
	Max    float64 `json:"max"`
}

func newSpread(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	slices.Sort(values)
	return Spread{Median: values[len(values)/2], Max: values[len(values)-1]}
}

// RoleUsage is what the nodes of a role used during the measured time.
type RoleUsage struct {
	Nodes        int                `json:"nodes"`
	NotRead      int                `json:"not_read,omitempty"` // nodes without both readings
	ControlBytes Spread             `json:"control_bytes_per_second"`
	ByClass      map[string]float64 `json:"control_bytes_per_second_by_class"` // mean over the nodes
	CPUPercent   Spread             `json:"cpu_percent_of_a_core"`
	MemoryMB     Spread             `json:"memory_mb"`
}

// NodeUsage is the usage of both roles. Bytes count both directions.
type NodeUsage struct {
	Routers RoleUsage `json:"routers"`
	Agents  RoleUsage `json:"agents"`
}

// watchNodes reads all nodes at the begin and the end of the measured time.
func watchNodes(ctx context.Context, section FleetSection, from, to time.Time) <-chan NodeUsage {
	result := make(chan NodeUsage, 1)
	go func() {
		sleepUntil(ctx, from)
		routers, agents := readNodes(section.RouterControl), readNodes(section.AgentControl)
		sleepUntil(ctx, to)
		result <- NodeUsage{
			Routers: roleUsage(section.RouterControl, routers),
			Agents:  roleUsage(section.AgentControl, agents),
		}
	}()
	return result
}

// reading is a sample with its time; err tells why there is none.
type reading struct {
	sample
	at  time.Time
	err error
}

func readNodes(addresses []fleet.Address) []reading {
	readings := make([]reading, len(addresses))
	for i, address := range addresses {
		readings[i].sample, readings[i].err = readNode(address)
		readings[i].at = time.Now()
	}
	return readings
}

// roleUsage reads the nodes again and works out rates. A node that restarted
// in between, which its falling CPU time shows, is left out.
func roleUsage(addresses []fleet.Address, before []reading) RoleUsage {
	usage := RoleUsage{Nodes: len(addresses), ByClass: make(map[string]float64)}
	var bytesRates, cpus, memories []float64
	for i, after := range readNodes(addresses) {
		earlier := before[i]
		if after.err != nil || earlier.err != nil || after.cpuSeconds < earlier.cpuSeconds {
			usage.NotRead++
			continue
		}
		seconds := after.at.Sub(earlier.at).Seconds()
		total := 0.0
		for class, count := range after.bytesByClass {
			rate := (count - earlier.bytesByClass[class]) / seconds
			usage.ByClass[class] += rate / float64(len(addresses))
			total += rate
		}
		bytesRates = append(bytesRates, total)
		cpus = append(cpus, 100*(after.cpuSeconds-earlier.cpuSeconds)/seconds)
		memories = append(memories, after.memory/(1<<20))
	}
	usage.ControlBytes = newSpread(bytesRates)
	usage.CPUPercent = newSpread(cpus)
	usage.MemoryMB = newSpread(memories)
	return usage
}
