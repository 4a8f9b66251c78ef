package report

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"

	"gonum.org/v1/plot/plotter"

	"masticturn/internal/bench"
)

// figure is a plot with its table of figures.
type figure struct {
	name    string // in names of files
	title   string
	note    string // units and axes
	summary string // text alternative of the plot
	drawing drawing
	table   table
	points  *table // all points of the plot; nil where the table has them
}

// table is figures by rows; the first cell of a row names it.
type table struct {
	Name    string
	Columns []string
	Rows    []row
}

type row struct {
	Cells []string
	Bad   bool
}

func (t *table) add(cells ...string) { t.Rows = append(t.Rows, row{Cells: cells}) }

// figures returns the figures of a section.
func (s section) figures() []figure {
	all := s.series()
	return []figure{latencyFigure(all), headroomFigure(all), shiftFigure(all), shedFigure(all)}
}

func labelsOf(all []series) []string {
	var out []string
	for i := range all {
		out = append(out, all[i].label)
	}
	return out
}

// union returns the names that any series has, in the order of the first.
func union(all []series, names func(*bench.SteeringRun) []string) []string {
	var out []string
	for i := range all {
		for _, name := range names(all[i].SteeringRun) {
			if !slices.Contains(out, name) {
				out = append(out, name)
			}
		}
	}
	return out
}

func classNames(r *bench.SteeringRun) []string {
	var out []string
	for i := range r.Classes {
		out = append(out, r.Classes[i].Class)
	}
	return out
}

func classOf(r *bench.SteeringRun, name string) (bench.SteeringClass, bool) {
	i := slices.IndexFunc(r.Classes, func(c bench.SteeringClass) bool { return c.Class == name })
	if i < 0 {
		return bench.SteeringClass{}, false
	}
	return r.Classes[i], true
}

func latencyFigure(all []series) figure {
	f := figure{
		name:    "latency",
		title:   "Latency by class",
		note:    "Milliseconds from the start of a request's first try until its answer, of the requests answered after the warm-up. The axis of latency is logarithmic.",
		table:   table{Name: "Latency by class", Columns: []string{"Class", "Series", "p50, ms", "p99, ms", "p99.9, ms", "Answered"}},
		drawing: drawing{legend: labelsOf(all)},
	}
	classes := union(all, classNames)
	for _, class := range classes {
		p := panel{title: class, y: "ms (log)", log: true, labels: []string{"p50", "p99", "p99.9"}}
		for i := range all {
			c, ok := classOf(all[i].SteeringRun, class)
			if !ok {
				continue
			}
			p.lines = append(p.lines, line{series: i, xys: positive(c.P50MS, c.P99MS, c.P999MS)})
			f.table.add(class, all[i].label, millis(c.P50MS), millis(c.P99MS), millis(c.P999MS), strconv.Itoa(c.Answered))
		}
		f.drawing.panels = append(f.drawing.panels, p)
	}
	f.summary = fmt.Sprintf("Latency at p50, p99 and p99.9 of %d classes, one line for each of %d series; the figures are in the table below.", len(classes), len(all))
	return f
}

// positive returns the values above 0, which a logarithmic axis can show.
func positive(values ...float64) plotter.XYs {
	var out plotter.XYs
	for i, v := range values {
		if v > 0 {
			out = append(out, plotter.XY{X: float64(i), Y: v})
		}
	}
	return out
}

// Labels of axes.
const (
	timeLabel  = "seconds since the warm-up"
	shareLabel = "percent"
)

const marksNote = " Vertical lines: the event begins and ends."

// eventMarks returns when the event begins and ends. The series of a scenario
// may differ in it, when several policies were run at once.
func eventMarks(all []series) []float64 {
	marks := []float64{0}
	for i := range all {
		if end := seconds(all[i].EventMS); !slices.Contains(marks, end) {
			marks = append(marks, end)
		}
	}
	return marks
}

func regionNames(r *bench.SteeringRun) []string {
	var out []string
	for i := range r.Use {
		out = append(out, r.Use[i].Region)
	}
	return out
}

func headroomFigure(all []series) figure {
	f := figure{
		name:    "headroom",
		title:   "Headroom by region",
		note:    "Percent of a region's slots that were free, as means over steps of half a second; slots of lost targets count as free. Below 0, requests waited for slots inside of targets. Least and mean are of the time after the warm-up." + marksNote,
		table:   table{Name: "Headroom by region", Columns: []string{"Region", "Series", "Slots", "Mean, %", "Least, %"}},
		points:  &table{Name: "All points of headroom", Columns: []string{"Region", "Series", "Seconds: headroom in %"}},
		drawing: drawing{legend: labelsOf(all)},
	}
	regions := union(all, regionNames)
	for _, region := range regions {
		p := panel{title: region, x: timeLabel, y: shareLabel, high: percent, marks: eventMarks(all)}
		for i := range all {
			for _, use := range all[i].Use {
				if use.Region == region {
					p.lines = append(p.lines, line{series: i, xys: headroom(use)})
				}
			}
		}
		f.drawing.panels = append(f.drawing.panels, p)
		for _, l := range p.lines {
			mean, least := meanAndLeast(l.xys)
			f.table.add(region, all[l.series].label, slotsOf(all[l.series], region), share(mean), share(least))
			f.points.add(region, all[l.series].label, listed(l.xys))
		}
	}
	f.summary = fmt.Sprintf("Headroom over time of %d regions, one line for each of %d series; the figures are in the tables below.", len(regions), len(all))
	return f
}

const percent = 100

func headroom(use bench.SteeringUse) plotter.XYs {
	var out plotter.XYs
	for _, p := range use.Points {
		free := percent * (1 - p.Busy/float64(max(1, use.Slots)))
		out = append(out, plotter.XY{X: seconds(p.AtMS), Y: free})
	}
	return out
}

func slotsOf(s series, region string) string {
	for _, use := range s.Use {
		if use.Region == region {
			return strconv.Itoa(use.Slots)
		}
	}
	return ""
}

func seconds(ms int64) float64 { return (time.Duration(ms) * time.Millisecond).Seconds() }

// meanAndLeast returns the mean and the least of what is after the warm-up.
func meanAndLeast(xys plotter.XYs) (mean, least float64) {
	n := 0
	least = math.Inf(1)
	for _, xy := range xys {
		if xy.X < 0 {
			continue
		}
		n++
		mean += (xy.Y - mean) / float64(n)
		least = math.Min(least, xy.Y)
	}
	if n == 0 {
		return 0, 0
	}
	return mean, least
}

func shedFigure(all []series) figure {
	f := figure{
		name:    "shed",
		title:   "Shed by class",
		note:    "Percent of the requests sent after the warm-up that callers were told were not run. Unknown: callers were told that the outcome is unknown, or nothing.",
		table:   table{Name: "Shed by class", Columns: []string{"Class", "Series", "Requests", "Not run", "Not run, %", "Unknown"}},
		drawing: drawing{legend: labelsOf(all)},
	}
	classes := union(all, classNames)
	p := panel{title: "Requests not run", y: shareLabel, high: 1, labels: classes}
	for i := range all {
		p.lines = append(p.lines, line{series: i, bars: true})
	}
	for at, class := range classes {
		for i := range all {
			c, ok := classOf(all[i].SteeringRun, class)
			if !ok {
				continue
			}
			shed := percent * float64(c.NotRun) / float64(max(1, c.Requests))
			p.lines[i].xys = append(p.lines[i].xys, plotter.XY{X: float64(at) + offset(i, len(all)), Y: shed})
			f.table.add(class, all[i].label, strconv.Itoa(c.Requests), strconv.Itoa(c.NotRun), share(shed), strconv.Itoa(c.Unknown))
		}
	}
	f.drawing.panels = []panel{p}
	f.summary = fmt.Sprintf("Share of requests not run of %d classes, one bar for each of %d series; the figures are in the table below.", len(classes), len(all))
	return f
}

// offset returns the place of a series' bar beside the x label.
func offset(i, of int) float64 {
	return barSpace * (float64(i) + 0.5 - float64(of)/2) / float64(max(1, of))
}

func millis(v float64) string { return strconv.FormatFloat(v, 'f', 2, 64) }
func share(v float64) string  { return strconv.FormatFloat(v, 'f', 1, 64) }

// listed writes all points of a line.
func listed(xys plotter.XYs) string {
	out := ""
	for i, xy := range xys {
		if i > 0 {
			out += "; "
		}
		out += fmt.Sprintf("%.1f: %s", xy.X, share(xy.Y))
	}
	return out
}
