package report

import (
	"image/color"
	"math"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/micaplank/micaplank/internal/rehearsal/experiment"
	"github.com/micaplank/micaplank/internal/rehearsal/simulation"
)

const (
	tileWidth  = 9 * vg.Centimeter
	tileHeight = 7 * vg.Centimeter
	// scatterMargin is the room around the points of a scatter plot.
	scatterMargin = 0.1
	legendSize    = vg.Length(8)
	// tileColumns is how many plots stand side by side.
	tileColumns = 2
)

// colours tell policies apart, also for readers who don't see all colours.
var colours = []color.Color{
	color.RGBA{R: 0x00, G: 0x72, B: 0xb2, A: 0xff},
	color.RGBA{R: 0x00, G: 0x9e, B: 0x73, A: 0xff},
	color.RGBA{R: 0xe6, G: 0x9f, B: 0x00, A: 0xff},
	color.RGBA{R: 0xd5, G: 0x5e, B: 0x00, A: 0xff},
	color.RGBA{R: 0xcc, G: 0x79, B: 0xa7, A: 0xff},
	color.RGBA{R: 0x56, G: 0xb4, B: 0xe9, A: 0xff},
	color.RGBA{R: 0x00, G: 0x00, B: 0x00, A: 0xff},
}

// curve is the points of one policy in one plot.
type curve struct {
	policy string
	colour color.Color
	points plotter.XYs
}

// axes names the axes of a plot and says which are logarithmic.
type axes struct {
	horizontal, vertical       string
	logHorizontal, logVertical bool
	// dots marks the points of a line; scatter draws nothing else.
	dots, scatter bool
	// legendLeft and legendTop place the legend where no curve runs.
	legendLeft, legendTop bool
}

// newPlot draws curves.
func newPlot(title string, axes axes, curves []curve) (*plot.Plot, error) {
	drawn := plot.New()
	drawn.Title.Text = title
	drawn.X.Label.Text = axes.horizontal
	drawn.Y.Label.Text = axes.vertical
	drawn.Add(plotter.NewGrid())
	drawn.Legend.Left, drawn.Legend.Top = axes.legendLeft, axes.legendTop
	drawn.Legend.TextStyle.Font.Size = legendSize
	for _, curve := range curves {
		if len(curve.points) == 0 {
			continue
		}
		if err := addCurve(drawn, axes, curve); err != nil {
			return nil, err
		}
	}
	if axes.scatter {
		widen(&drawn.X)
		widen(&drawn.Y)
	}
	if axes.logHorizontal && drawn.X.Min > 0 && drawn.X.Max > drawn.X.Min {
		drawn.X.Scale, drawn.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	if axes.logVertical && drawn.Y.Min > 0 && drawn.Y.Max > drawn.Y.Min {
		drawn.Y.Scale, drawn.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	return drawn, nil
}

// widen leaves room around the points of a scatter plot.
func widen(axis *plot.Axis) {
	margin := scatterMargin * (axis.Max - axis.Min)
	axis.Min -= margin
	axis.Max += margin
}

func addCurve(drawn *plot.Plot, axes axes, curve curve) error {
	line, dots, err := plotter.NewLinePoints(curve.points)
	if err != nil {
		return err
	}
	line.Color, dots.Color = curve.colour, curve.colour
	dots.Shape = draw.CircleGlyph{}
	dots.Radius = vg.Points(1.5)
	if axes.scatter {
		dots.Radius = vg.Points(3)
		drawn.Add(dots)
		drawn.Legend.Add(curve.policy, dots)
		return nil
	}
	drawn.Add(line)
	if axes.dots {
		drawn.Add(dots)
	}
	drawn.Legend.Add(curve.policy, line)
	return nil
}

// writeTiles puts plots side by side into one SVG file.
func writeTiles(path string, plots []*plot.Plot) error {
	rows := (len(plots) + tileColumns - 1) / tileColumns
	grid := make([][]*plot.Plot, rows)
	for row := range grid {
		grid[row] = make([]*plot.Plot, tileColumns)
		copy(grid[row], plots[row*tileColumns:min((row+1)*tileColumns, len(plots))])
	}
	canvas := vgsvg.New(tileWidth*tileColumns, tileHeight*vg.Length(rows))
	tiles := draw.Tiles{Rows: rows, Cols: tileColumns, PadX: vg.Millimeter, PadY: vg.Millimeter}
	for row, canvases := range plot.Align(grid, tiles, draw.New(canvas)) {
		for column, tile := range canvases {
			if grid[row][column] != nil {
				grid[row][column].Draw(tile)
			}
		}
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if _, err := canvas.WriteTo(file); err != nil {
		return err
	}
	return file.Close()
}

// writeFigures writes all plots of a result and lists them.
func writeFigures(directory string, result *experiment.Result) ([]Figure, error) {
	var figures []Figure
	for _, planned := range planFigures(result) {
		var plots []*plot.Plot
		for _, service := range result.Experiment.Deployment.Services {
			curves := planned.curves(service)
			if empty(curves) {
				continue
			}
			drawn, err := newPlot(service.Name, planned.axes, curves)
			if err != nil {
				return nil, err
			}
			plots = append(plots, drawn)
		}
		if len(plots) == 0 {
			continue
		}
		if err := writeTiles(filepath.Join(directory, planned.File), plots); err != nil {
			return nil, err
		}
		figures = append(figures, planned.Figure)
	}
	return figures, nil
}

func empty(curves []curve) bool {
	for _, curve := range curves {
		if len(curve.points) > 0 {
			return false
		}
	}
	return true
}

// plannedFigure is a figure with one plot for each service.
type plannedFigure struct {
	Figure
	axes   axes
	curves func(simulation.Service) []curve
}

// meanQuantiles is the mean over the seeds of each quantile of a class.
func meanQuantiles(phases []*simulation.PhaseResult, index int) []float64 {
	means := make([]float64, len(simulation.QuantilePoints))
	for point := range means {
		for _, phase := range phases {
			means[point] += phase.Classes[index].Latency[point] / float64(len(phases))
		}
	}
	return means
}

// beyond turns quantiles into the share of queries that take longer.
func beyond(quantiles []float64) plotter.XYs {
	var points plotter.XYs
	for i, point := range simulation.QuantilePoints {
		left := 1 - point
		if left < 1e-4 || quantiles[i] <= 0 || quantiles[i] > unansweredAbove || math.IsNaN(quantiles[i]) {
			continue
		}
		points = append(points, plotter.XY{X: quantiles[i], Y: left})
	}
	return points
}
