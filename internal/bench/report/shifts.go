package report

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"gonum.org/v1/plot/plotter"

	"masticturn/internal/bench"
)

// capKey names a cap: its regions.
type capKey struct{ from, to string }

func (k capKey) String() string { return k.from + " to " + k.to }

func shiftFigure(all []series) figure {
	f := figure{
		name:    "shifts",
		title:   "Shifted share against the cap",
		note:    "Percent of the requests that a region's callers sent in one window of the cap, shifted to the other region in the next window. The windows here begin with the load; the check also looks at other alignments. Most is over all windows, those of the warm-up included." + marksNote,
		table:   table{Name: "Shifted share against the cap", Columns: []string{"From, to", "Series", "Cap, %", "Most, %", "Shifted", "Windows above"}},
		points:  &table{Name: "All points of shifts", Columns: []string{"From, to", "Series", "Seconds: share in %"}},
		drawing: drawing{legend: labelsOf(all)},
	}
	var unused []string
	for _, key := range capKeys(all) {
		p := capPanel(all, key)
		if len(p.lines) == 0 {
			unused = append(unused, key.String())
			continue
		}
		f.drawing.panels = append(f.drawing.panels, p)
		f.addCap(all, key)
	}
	f.summary = fmt.Sprintf("Shifted share over time against the cap of %d pairs of regions; the figures are in the tables below.", len(f.drawing.panels))
	if len(unused) > 0 {
		f.note += " No series shifted any: " + strings.Join(unused, ", ") + "."
	}
	return f
}

func capKeys(all []series) []capKey {
	var out []capKey
	for i := range all {
		for _, s := range all[i].Shifts {
			if key := (capKey{s.From, s.To}); !slices.Contains(out, key) {
				out = append(out, key)
			}
		}
	}
	return out
}

// capPanel returns the lines of the series that shifted anything, and the cap.
func capPanel(all []series, key capKey) panel {
	p := panel{title: key.String(), x: timeLabel, y: shareLabel, marks: eventMarks(all)}
	for i := range all {
		for _, s := range all[i].Shifts {
			if key != (capKey{s.From, s.To}) || shiftedIn(s) == 0 {
				continue
			}
			p.lines = append(p.lines, line{series: i, xys: shares(s)})
			limit := percent * s.MaxFraction
			p.high = math.Max(p.high, limit*capMargin)
			if !slices.ContainsFunc(p.bounds, func(b bound) bool { return b.y == limit }) {
				p.bounds = append(p.bounds, bound{"cap", limit})
			}
		}
	}
	return p
}

// capMargin is the room above the cap, as a multiple of it.
const capMargin = 1.2

func shiftedIn(s bench.SteeringShift) int {
	n := 0
	for _, w := range s.Windows {
		n += w.Shifted
	}
	return n
}

func shares(s bench.SteeringShift) plotter.XYs {
	var out plotter.XYs
	for _, w := range s.Windows {
		out = append(out, plotter.XY{X: seconds(w.AtMS), Y: percent * float64(w.Shifted) / float64(max(1, w.Sent))})
	}
	return out
}

// addCap adds the rows of one cap to the tables.
func (f *figure) addCap(all []series, key capKey) {
	for i := range all {
		for _, s := range all[i].Shifts {
			if key != (capKey{s.From, s.To}) {
				continue
			}
			most, above := 0.0, 0
			for at, xy := range shares(s) {
				most = math.Max(most, xy.Y)
				if w := s.Windows[at]; w.Shifted > int(s.MaxFraction*float64(w.Sent)) {
					above++
				}
			}
			f.table.add(key.String(), all[i].label, share(percent*s.MaxFraction), share(most), strconv.Itoa(shiftedIn(s)), strconv.Itoa(above))
			f.points.add(key.String(), all[i].label, listed(shares(s)))
		}
	}
}
