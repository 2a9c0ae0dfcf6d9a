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
	// seriesBinWidth is the width of the arrival-time bins in the plot of a reclaim.
	seriesBinWidth = 2 * time.Second
	// minPlottedSeconds replaces smaller values, because a logarithmic axis cannot
	// show zero.
	minPlottedSeconds = 0.01
)

// WritePlots writes SVG plots to a directory: latency against load for each
// scenario, and latency against arrival time for the reclaim scenario.
func (r *Report) WritePlots(directory string) error {
	perScenario := len(Policies()) * len(loads)
	for first := 0; first < len(r.Cells); first += perScenario {
		cells := r.Cells[first : first+perScenario]
		if err := plotLatency(directory, cells); err != nil {
			return errors.Trace(err)
		}
		if cells[0].Scenario == "reclaim" {
			if err := plotReclaim(directory, cells); err != nil {
				return errors.Trace(err)
			}
		}
	}
	return nil
}

// plotLatency plots the p95 time to first token against the load.
func plotLatency(directory string, cells []*Cell) error {
	p := newPlot(cells[0].Operator+", "+cells[0].Scenario+": latency against load", "load (share of capacity)")
	var lines []any
	for first := 0; first < len(cells); first += len(loads) {
		points := make(plotter.XYs, 0, len(loads))
		for _, c := range cells[first : first+len(loads)] {
			points = append(points, plotter.XY{X: c.Load, Y: max(c.P95FirstTokenSeconds, minPlottedSeconds)})
		}
		lines = append(lines, cells[first].Policy, points)
	}
	return savePlot(p, directory, "latency-"+cells[0].Operator+"-"+cells[0].Scenario, lines)
}

// plotReclaim plots the p95 time to first token against the arrival time, for the
// first seed at 80% load.
func plotReclaim(directory string, cells []*Cell) error {
	p := newPlot(cells[0].Operator+": course of a zone reclaim at 80% load", "arrival (s)")
	var lines []any
	for _, c := range cells {
		if c.Load == tableLoad {
			lines = append(lines, c.Policy, binnedP95(c.firstTokenSeries))
		}
	}
	return savePlot(p, directory, "reclaim-"+cells[0].Operator, lines)
}

// binnedP95 returns the p95 time to first token in seconds for each arrival-time
// bin. series is ordered by arrival.
func binnedP95(series []firstTokenPoint) plotter.XYs {
	var points plotter.XYs
	for len(series) > 0 {
		start := series[0].arrival.Truncate(seriesBinWidth)
		n := 0
		for n < len(series) && series[n].arrival < start+seriesBinWidth {
			n++
		}
		values := make([]time.Duration, n)
		for i := range values {
			values[i] = series[i].timeToFirstToken
		}
		slices.Sort(values)
		y := values[(n-1)*percentile95/100].Seconds()
		points = append(points, plotter.XY{X: start.Seconds(), Y: max(y, minPlottedSeconds)})
		series = series[n:]
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

// savePlot adds lines, which alternate between labels and points, and writes the
// plot as an SVG file.
func savePlot(p *plot.Plot, directory, name string, lines []any) error {
	if err := plotutil.AddLines(p, lines...); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(p.Save(plotWidth, plotHeight, filepath.Join(directory, name+".svg")))
}
