package report

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"slices"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"masticturn/internal/bench"
	"masticturn/internal/steering"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

// Report is the input of a page.
type Report struct {
	Written time.Time
	Runs    []*Run // of now and of before
	Skipped []Skipped
}

// Plot is one plot as a file of its own.
type Plot struct {
	Name string // of the file
	SVG  []byte
}

// Write writes the page and returns its plots.
func (r *Report) Write(w io.Writer) ([]Plot, error) {
	page := pageView{Written: date(r.Written), Skipped: r.Skipped}
	var plots []Plot
	for _, s := range sectionsOf(r.Runs) {
		view, drawn, err := viewOf(s)
		if err != nil {
			return nil, trace.Wrap(err, "scenario %s on %s", s.scenario, s.deployment)
		}
		page.Sections = append(page.Sections, view)
		plots = append(plots, drawn...)
	}
	return plots, trace.Wrap(pageTemplate.Execute(w, page), "writing the page")
}

// pageView and the types below are what the template reads.
type pageView struct {
	Written  string
	Sections []sectionView
	Skipped  []Skipped
}

type sectionView struct {
	ID         string
	Deployment string
	Scenario   string
	Runs       []runView
	Checks     table
	Broken     bool
	Promised   bool // a series promises something: policy broker
	Figures    []figureView
}

type runView struct {
	Label   string
	Version string
	Cores   int
	Load    string
	Event   string // seconds
	Service string
	Command string
}

type figureView struct {
	ID     string
	Title  string
	Note   string
	SVG    template.HTML
	Table  table
	Points *table
	File   string
}

func viewOf(s section) (sectionView, []Plot, error) {
	view := sectionView{ID: s.id(), Deployment: s.deployment, Scenario: s.scenario, Checks: checks(s.series())}
	for _, r := range view.Checks.Rows {
		view.Broken = view.Broken || r.Bad
	}
	view.Promised = slices.ContainsFunc(s.series(), func(one series) bool { return one.Policy == steering.PolicyBroker })
	for _, r := range s.runs {
		view.Runs = append(view.Runs, runViewOf(r))
	}
	var plots []Plot
	for _, f := range s.figures() {
		svg, err := f.drawing.svg()
		if err != nil {
			return sectionView{}, nil, trace.Wrap(err, "%s", f.title)
		}
		plot := Plot{Name: s.id() + "-" + f.name + ".svg", SVG: svg}
		plots = append(plots, plot)
		view.Figures = append(view.Figures, figureView{
			ID:     s.id() + "-" + f.name,
			Title:  f.title,
			Note:   f.note,
			SVG:    inline(svg, f.summary),
			Table:  f.table,
			Points: f.points,
			File:   plot.Name,
		})
	}
	return view, plots, nil
}

func runViewOf(r *Run) runView {
	return runView{
		Label:   r.label(),
		Version: r.Version,
		Cores:   r.Cores,
		Load:    share(percent * r.Result.Load),
		Event:   share(seconds(r.Result.Runs[0].EventMS)),
		Service: r.Result.Service,
		Command: r.Command,
	}
}

// inline returns the svg element of an SVG file, with a text alternative. The
// text within it is escaped by the drawing library.
func inline(svg []byte, summary string) template.HTML {
	const tag = "<svg"
	if at := bytes.Index(svg, []byte(tag)); at >= 0 {
		svg = svg[at+len(tag):]
	}
	return template.HTML(fmt.Sprintf(`%s role="img" aria-label="%s"%s`, tag, template.HTMLEscapeString(summary), svg)) //nolint:gosec // see above
}

// checks tells for each series what must always hold. A row is bad when the
// policy broker broke something; the others are there to compare with.
func checks(all []series) table {
	t := table{Name: "Checks", Columns: []string{"Series", "Beyond a cap", "Region overloaded", "Target full", "Promises broken", "Attempts", "Shifted, %", "Settled after, ms", "Reversals", "Not sent"}}
	for i := range all {
		s := all[i].SteeringRun
		t.Rows = append(t.Rows, row{
			Cells: []string{
				all[i].label,
				strconv.Itoa(s.CapExceeded),
				strconv.Itoa(s.RegionOverloaded),
				strconv.Itoa(s.TargetFull),
				strconv.Itoa(s.Promises.Total),
				strconv.Itoa(s.Attempts),
				share(percent * s.ShareShifted),
				strconv.FormatFloat(s.SettleMS, 'f', 0, 64),
				strconv.Itoa(s.Reversals),
				strconv.Itoa(s.Overruns),
			},
			Bad: bench.Broken(s) > 0,
		})
	}
	return t
}
