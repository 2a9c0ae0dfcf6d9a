package measure

import (
	"path/filepath"
	"slices"
	"time"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
	// courseStep is the width of the points of a course.
	courseStep = 2 * time.Second
	// leastPlotted keeps zero values on a logarithmic axis.
	leastPlotted = 0.01
)

// WritePlots writes SVG plots to a directory: latency against load in each
// scenario, and the course of a reclaim.
func (r *Report) WritePlots(directory string) error {
	perScenario := len(Policies()) * len(loads)
	for first := 0; first < len(r.Cells); first += perScenario {
		cells := r.Cells[first : first+perScenario]
		if err := plotLatency(directory, cells); err != nil {
			return errors.Trace(err)
		}
		if cells[0].Scenario == "reclaim" {
			if err := plotCourse(directory, cells); err != nil {
				return errors.Trace(err)
			}
		}
	}
	return nil
}

// plotLatency plots p95 of the time to first token against load.
func plotLatency(directory string, cells []*Cell) error {
	p := newPlot(cells[0].Operator+", "+cells[0].Scenario+": latency against load", "load (share of capacity)")
	var lines []any
	for first := 0; first < len(cells); first += len(loads) {
		points := make(plotter.XYs, 0, len(loads))
		for _, c := range cells[first : first+len(loads)] {
			points = append(points, plotter.XY{X: c.Load, Y: max(c.P95FirstTokenSeconds, leastPlotted)})
		}
		lines = append(lines, cells[first].Policy, points)
	}
	return save(p, directory, "latency-"+cells[0].Operator+"-"+cells[0].Scenario, lines)
}

// plotCourse plots p95 of the time to first token by time of arrival in the
// first seed at 80% load.
func plotCourse(directory string, cells []*Cell) error {
	p := newPlot(cells[0].Operator+": course of a zone reclaim at 80% load", "arrival (s)")
	var lines []any
	for _, c := range cells {
		if c.Load == tableLoad {
			lines = append(lines, c.Policy, coursePoints(c.course))
		}
	}
	return save(p, directory, "reclaim-"+cells[0].Operator, lines)
}

func coursePoints(course []coursePoint) plotter.XYs {
	var points plotter.XYs
	for len(course) > 0 {
		start := course[0].arrival.Truncate(courseStep)
		n := 0
		for n < len(course) && course[n].arrival < start+courseStep {
			n++
		}
		values := make([]time.Duration, n)
		for i := range values {
			values[i] = course[i].first
		}
		slices.Sort(values)
		y := values[(n-1)*percentile95/100].Seconds()
		points = append(points, plotter.XY{X: start.Seconds(), Y: max(y, leastPlotted)})
		course = course[n:]
	}
	return points
}

func newPlot(title, x string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, "p95 time to first token (s)"
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	return p
}

func save(p *plot.Plot, directory, name string, lines []any) error {
	if err := plotutil.AddLines(p, lines...); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(p.Save(plotWidth, plotHeight, filepath.Join(directory, name+".svg")))
}
