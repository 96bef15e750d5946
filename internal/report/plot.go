package report

import (
	"fmt"
	"image/color"
	"math"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"geraniumbeam/internal/metrics"
	"geraniumbeam/internal/result"
)

// Dimensions of the plot.
const (
	barWidth    = 0.5 * vg.Centimeter
	widthPerBar = 1.2 * vg.Centimeter
	plotHeight  = 14 * vg.Centimeter
	plotMargin  = 6 * vg.Centimeter
)

var reasonColours = map[metrics.Reason]color.Color{
	metrics.ReasonShed:     color.RGBA{R: 0xd5, G: 0x5e, A: 0xff},
	metrics.ReasonQueue:    color.RGBA{R: 0xe6, G: 0x9f, A: 0xff},
	metrics.ReasonFailover: color.RGBA{R: 0xcc, G: 0x79, B: 0xa7, A: 0xff},
	metrics.ReasonStale:    color.RGBA{R: 0x56, G: 0xb4, B: 0xe9, A: 0xff},
	metrics.ReasonOther:    color.RGBA{R: 0x99, G: 0x99, B: 0x99, A: 0xff},
}

// CheckPlotPath returns an error if WritePlot does not support the file extension
// of path.
func CheckPlotPath(path string) error {
	switch ext := strings.ToLower(filepath.Ext(path)); ext {
	case ".svg", ".png":
		return nil
	default:
		return result.Errorf(result.Invalid, "plot file has the extension %q: want .svg or .png", ext)
	}
}

// WritePlot draws a bar chart of the error budget used per class and data centre,
// split by reason. The file extension selects SVG or PNG.
func (r *Report) WritePlot(path string) error {
	if err := CheckPlotPath(path); err != nil {
		return err
	}
	p := plot.New()
	p.Title.Text = "Error budget used"
	p.Y.Label.Text = "percent"
	p.Y.Min = 0
	p.Y.Max = 1.1 * r.maxPercent()
	p.Legend.Top = true
	labels := make([]string, len(r.Budgets))
	for i, b := range r.Budgets {
		labels[i] = b.Class + " " + b.DataCentre
	}
	if len(labels) > 0 {
		p.NominalX(labels...)
		p.X.Tick.Label.Rotation = math.Pi / 4
		p.X.Tick.Label.XAlign = -1
		if err := r.addBars(p); err != nil {
			return err
		}
	}
	width := plotMargin + widthPerBar*vg.Length(len(r.Budgets))
	if err := p.Save(width, plotHeight, path); err != nil {
		return fmt.Errorf("write plot %s: %w", path, err)
	}
	return nil
}

func (r *Report) addBars(p *plot.Plot) error {
	var below *plotter.BarChart
	for _, reason := range metrics.Reasons {
		values := make(plotter.Values, len(r.Budgets))
		sum := 0.0
		for i, b := range r.Budgets {
			values[i] = 100 * b.BudgetUsed * b.Reasons[reason]
			sum += values[i]
		}
		if sum == 0 {
			continue
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return fmt.Errorf("draw plot: %w", err)
		}
		bars.Color = reasonColours[reason]
		bars.LineStyle.Width = 0
		if below != nil {
			bars.StackOn(below)
		}
		below = bars
		p.Add(bars)
		p.Legend.Add(string(reason), bars)
	}
	limit, err := plotter.NewLine(plotter.XYs{{X: -0.5, Y: 100}, {X: float64(len(r.Budgets)) - 0.5, Y: 100}})
	if err != nil {
		return fmt.Errorf("draw plot: %w", err)
	}
	limit.Dashes = []vg.Length{vg.Points(4), vg.Points(4)}
	p.Add(limit)
	p.Legend.Add("error budget used up", limit)
	return nil
}

// maxPercent returns the largest percentage to draw, including the line at 100 %.
func (r *Report) maxPercent() float64 {
	top := 100.0
	for _, b := range r.Budgets {
		top = max(top, 100*b.BudgetUsed)
	}
	return top
}
