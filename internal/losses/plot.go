package losses

import (
	"io"

	"github.com/pkg/errors"
	"github.com/wcharczuk/go-chart/v2"
)

// The size of a plot, in points.
const (
	plotWidth  = 1200
	plotHeight = 500
)

// Plot writes an SVG chart of requests per second by outcome.
func (r *Report) Plot(out io.Writer) error {
	if len(r.Seconds) < 2 {
		return errors.New("a plot needs at least two seconds of counts")
	}
	lines := []struct {
		name  string
		value func(second *Second) int
	}{
		{"in time", func(s *Second) int { return s.InTime }},
		{"late", func(s *Second) int { return s.Late }},
		{"refused", func(s *Second) int { return s.TotalRefused() }},
		{"failed", func(s *Second) int { return s.Failed }},
	}
	graph := chart.Chart{
		Width: plotWidth, Height: plotHeight,
		XAxis: chart.XAxis{Name: "seconds"},
		YAxis: chart.YAxis{Name: "requests a second"},
	}
	start := r.Seconds[0].At
	for _, line := range lines {
		series := chart.ContinuousSeries{Name: line.name}
		for _, second := range r.Seconds {
			series.XValues = append(series.XValues, second.At.Sub(start).Seconds())
			series.YValues = append(series.YValues, float64(line.value(second)))
		}
		graph.Series = append(graph.Series, series)
	}
	graph.Elements = []chart.Renderable{chart.Legend(&graph)}
	return errors.WithStack(graph.Render(chart.SVG, out))
}
