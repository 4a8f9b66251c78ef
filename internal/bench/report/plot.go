package report

import (
	"bytes"
	"image/color"
	"math"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Sizes of plots, in points.
const (
	plotWidth   = 420
	panelHeight = 190
	legendRow   = 18
	legendText  = 13
	titleText   = 14
	axisText    = 13
	panelGap    = 14
	lineWidth   = 1.6
	glyphRadius = 2.6
	boundWidth  = 1.2
	markWidth   = 0.8
	swatchWidth = 34
)

// palette holds colours that people with any kind of colour vision tell apart
// (Okabe and Ito). Dashes tell the series beyond it apart.
var palette = []color.RGBA{
	{R: 0x00, G: 0x72, B: 0xb2, A: 0xff},
	{R: 0xd5, G: 0x5e, B: 0x00, A: 0xff},
	{R: 0x00, G: 0x9e, B: 0x73, A: 0xff},
	{R: 0xcc, G: 0x79, B: 0xa7, A: 0xff},
	{R: 0x8a, G: 0x6d, B: 0x00, A: 0xff},
	{R: 0x56, G: 0xb4, B: 0xe9, A: 0xff},
	{R: 0x33, G: 0x33, B: 0x33, A: 0xff},
}

var (
	boundColor = color.RGBA{R: 0xb3, G: 0x16, B: 0x1b, A: 0xff}
	markColor  = color.RGBA{R: 0x57, G: 0x60, B: 0x6a, A: 0xff}
	gridColor  = color.RGBA{R: 0xdd, G: 0xe1, B: 0xe6, A: 0xff}
)

// dashes holds one pattern for each pass over the palette; lengths are points.
var dashes = [][]vg.Length{nil, {6, 3}, {2, 2}, {8, 2, 2, 2}}

var boundDashes = []vg.Length{4, 2}

// panel is one pair of axes.
type panel struct {
	title  string
	y      string // label of the axis, with its unit
	x      string
	log    bool     // of y
	labels []string // of x 0, 1, ...; without them x is a number
	low    float64  // y reaches at least from low to high; unused when log
	high   float64
	lines  []line
	bounds []bound
	marks  []float64 // of x, each shown by a vertical line
}

// line is the values of one series. A gap in it is a line of its own.
type line struct {
	series int // number of the series: its colour
	xys    plotter.XYs
	bars   bool
}

// bound is a horizontal line that values shall stay below.
type bound struct {
	label string
	y     float64
}

// drawing is panels above each other with one legend.
type drawing struct {
	panels []panel
	legend []string // labels of the series, by number
}

// svg draws the panels and the legend below them.
func (d drawing) svg() ([]byte, error) {
	legendHeight := vg.Length(len(d.entries())*legendRow + panelGap)
	height := vg.Length(len(d.panels)*(panelHeight+panelGap)) + legendHeight
	canvas := vgsvg.New(plotWidth, height)
	all := draw.New(canvas)
	all.SetColor(color.White)
	all.Fill(all.Rectangle.Path())
	top := height
	for _, p := range d.panels {
		made, err := p.plot()
		if err != nil {
			return nil, err
		}
		made.Draw(draw.Crop(all, 0, -panelGap, top-panelHeight, top-height))
		top -= panelHeight + panelGap
	}
	d.drawLegend(draw.Crop(all, panelGap, 0, 0, top-height))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return nil, trace.Wrap(err, "writing a plot")
	}
	return out.Bytes(), nil
}

// entries returns the legend's entries: the series, and the bounds once each.
func (d drawing) entries() []string {
	out := append([]string(nil), d.legend...)
	for _, p := range d.panels {
		if len(p.bounds) > 0 {
			return append(out, p.bounds[0].label)
		}
	}
	return out
}

func (d drawing) drawLegend(c draw.Canvas) {
	legend := plot.NewLegend()
	legend.Top, legend.Left = true, true
	legend.ThumbnailWidth = swatchWidth
	legend.Padding = legendRow - legendText - 2
	legend.TextStyle.Font = sans(legendText)
	for i, label := range d.entries() {
		sample := &plotter.Line{LineStyle: seriesStyle(i)}
		if i >= len(d.legend) {
			sample.LineStyle = boundStyle()
		}
		legend.Add(label, sample)
	}
	legend.Draw(c)
}

func sans(size vg.Length) font.Font {
	f := font.From(plot.DefaultFont, size)
	f.Variant = "Sans"
	return f
}

func seriesStyle(i int) draw.LineStyle {
	return draw.LineStyle{
		Color:  palette[i%len(palette)],
		Width:  lineWidth,
		Dashes: dashes[i/len(palette)%len(dashes)],
	}
}

func boundStyle() draw.LineStyle {
	return draw.LineStyle{Color: boundColor, Width: boundWidth, Dashes: boundDashes}
}

// plot returns the panel with its axes.
func (p panel) plot() (*plot.Plot, error) {
	out := plot.New()
	out.Title.Text = p.title
	out.Title.TextStyle.Font = sans(titleText)
	out.X.Label.Text = p.x
	out.Y.Label.Text = p.y
	for _, axis := range []*plot.Axis{&out.X, &out.Y} {
		axis.Label.TextStyle.Font = sans(axisText)
		axis.Tick.Label.Font = sans(axisText)
	}
	grid := plotter.NewGrid()
	grid.Horizontal.Color, grid.Vertical.Color = gridColor, gridColor
	out.Add(grid)
	for _, l := range p.lines {
		if err := l.addTo(out, p.barWidth()); err != nil {
			return nil, err
		}
	}
	for _, b := range p.bounds {
		level := plotter.NewFunction(func(float64) float64 { return b.y })
		level.LineStyle = boundStyle()
		out.Add(level)
	}
	p.setRanges(out)
	return out, p.addMarks(out)
}

// addMarks draws the marks over the whole height, which is set already.
func (p panel) addMarks(out *plot.Plot) error {
	for _, x := range p.marks {
		mark, err := plotter.NewLine(plotter.XYs{{X: x, Y: out.Y.Min}, {X: x, Y: out.Y.Max}})
		if err != nil {
			return trace.Wrap(err, "drawing a mark")
		}
		mark.LineStyle = draw.LineStyle{Color: markColor, Width: markWidth}
		out.Add(mark)
	}
	return nil
}

// barSpace is the part of the room of an x label that its bars take.
const barSpace = 0.7

func (p panel) barWidth() float64 { return barSpace / float64(max(1, len(p.lines))) }

func (l line) addTo(p *plot.Plot, width float64) error {
	if len(l.xys) == 0 {
		return nil
	}
	if l.bars {
		return l.addBars(p, width)
	}
	drawn, points, err := plotter.NewLinePoints(l.xys)
	if err != nil {
		return trace.Wrap(err, "drawing a line")
	}
	drawn.LineStyle = seriesStyle(l.series)
	points.GlyphStyle = draw.GlyphStyle{Color: palette[l.series%len(palette)], Radius: glyphRadius, Shape: draw.CircleGlyph{}}
	p.Add(drawn, points)
	return nil
}

// addBars draws bars as polygons: they keep their place on the x axis at
// every width of the plot.
func (l line) addBars(p *plot.Plot, width float64) error {
	for _, xy := range l.xys {
		bar, err := plotter.NewPolygon(plotter.XYs{
			{X: xy.X - width/2, Y: 0},
			{X: xy.X - width/2, Y: xy.Y},
			{X: xy.X + width/2, Y: xy.Y},
			{X: xy.X + width/2, Y: 0},
		})
		if err != nil {
			return trace.Wrap(err, "drawing a bar")
		}
		bar.Color = palette[l.series%len(palette)]
		bar.LineStyle = seriesStyle(l.series)
		p.Add(bar)
	}
	return nil
}

// labelMargin is the room beside the first and the last x label.
const labelMargin = 0.6

func (p panel) setRanges(out *plot.Plot) {
	if len(p.labels) > 0 {
		out.NominalX(p.labels...)
		out.X.Tick.Label.Font = sans(axisText)
		out.X.Min, out.X.Max = -labelMargin, float64(len(p.labels)-1)+labelMargin
	}
	if !p.log {
		out.Y.Min = roundedTo(math.Floor, math.Min(p.low, out.Y.Min))
		out.Y.Max = roundedTo(math.Ceil, math.Max(p.high, out.Y.Max))
		return
	}
	out.Y.Scale = plot.LogScale{}
	out.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	low, high := p.logRange()
	out.Y.Min, out.Y.Max = low, high
}

// rangeStep is what the ends of ranges are multiples of.
const rangeStep = 10

func roundedTo(round func(float64) float64, v float64) float64 {
	return rangeStep * round(v/rangeStep)
}

// logRange returns the powers of ten around all values.
func (p panel) logRange() (low, high float64) {
	low, high = math.Inf(1), math.Inf(-1)
	for _, l := range p.lines {
		for _, xy := range l.xys {
			low, high = math.Min(low, xy.Y), math.Max(high, xy.Y)
		}
	}
	if low > high {
		return 1, logBase
	}
	from := math.Pow(logBase, math.Floor(math.Log10(low)))
	to := math.Pow(logBase, math.Ceil(math.Log10(high)))
	return from, math.Max(to, from*logBase)
}

const logBase = 10
