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

// scrapeClass is the class of requests for metrics and health, which are not
// control messages between the system's processes.
const scrapeClass = "scrape"

// sample holds the values of a node's metrics at one time.
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
	bytesByClass := sumByLabel(families[metricControlBytes], labelClass)
	delete(bytesByClass, scrapeClass)
	return sample{
		bytesByClass: bytesByClass,
		cpuSeconds:   firstValue(families[metricCPU]),
		memory:       firstValue(families[metricMemory]),
	}, nil
}

// sumByLabel sums a family's values by the value of a label.
func sumByLabel(family *dto.MetricFamily, label string) map[string]float64 {
	sums := make(map[string]float64)
	for _, metric := range family.GetMetric() {
		for _, pair := range metric.GetLabel() {
			if pair.GetName() == label {
				sums[pair.GetValue()] += metricValue(metric)
			}
		}
	}
	return sums
}

func firstValue(family *dto.MetricFamily) float64 {
	for _, metric := range family.GetMetric() {
		return metricValue(metric)
	}
	return 0
}

func metricValue(metric *dto.Metric) float64 {
	return metric.GetCounter().GetValue() + metric.GetGauge().GetValue() + metric.GetUntyped().GetValue()
}

// Spread is the distribution of a figure over the nodes of a role.
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

// RoleReport is the resource usage of a role's nodes during the measured time.
type RoleReport struct {
	Nodes        int                `json:"nodes"`
	NotRead      int                `json:"not_read,omitempty"` // nodes without a valid reading at both ends
	ControlBytes Spread             `json:"control_bytes_per_second"`
	ByClass      map[string]float64 `json:"control_bytes_per_second_by_class"` // mean over the nodes
	CPUPercent   Spread             `json:"cpu_percent_of_a_core"`
	MemoryMB     Spread             `json:"memory_mb"`
}

// NodeReport is the resource usage by role. Bytes count in both directions.
type NodeReport struct {
	Routers RoleReport `json:"routers"`
	Agents  RoleReport `json:"agents"`
}

// sampleNodes reads the metrics of all nodes at the start and the end of the
// measured time.
func sampleNodes(ctx context.Context, section FleetSection, from, to time.Time) <-chan NodeReport {
	result := make(chan NodeReport, 1)
	go func() {
		sleepUntil(ctx, from)
		routers, agents := readNodes(section.RouterControl), readNodes(section.AgentControl)
		sleepUntil(ctx, to)
		result <- NodeReport{
			Routers: newRoleReport(section.RouterControl, routers),
			Agents:  newRoleReport(section.AgentControl, agents),
		}
	}()
	return result
}

// reading is a sample with its time, or the error from reading it.
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

// newRoleReport reads the nodes again and computes rates. It leaves out nodes whose
// CPU time has decreased, since they have restarted.
func newRoleReport(addresses []fleet.Address, before []reading) RoleReport {
	usage := RoleReport{Nodes: len(addresses), ByClass: make(map[string]float64)}
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
