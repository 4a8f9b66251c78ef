package losses

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Print writes the losses by cause, as worth and as a fraction of the total worth, then by rule, region and
// window, and up to examples request ids per cause.
func (t *Table) Print(w io.Writer, examples int) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(tw, "%d requests, total worth %.0f, lost %.0f (%.4f)\t\n", t.Requests, t.TotalWorth, t.Lost(), t.Lost()/t.TotalWorth)
	if t.DroppedLines > 0 {
		fmt.Fprintf(tw, "at least %d log lines were dropped; their requests may be missing\t\n", t.DroppedLines)
	}
	fmt.Fprint(tw, "\ncause\tlost\tof total\t\n")
	for _, s := range t.ByCause() {
		fmt.Fprintf(tw, "%s\t%.1f\t%.4f\t\n", s.Cause, s.Worth, s.Worth/t.TotalWorth)
	}
	t.printBy(tw, "by rule", ByRule)
	t.printBy(tw, "by region", ByRegion)
	t.printBy(tw, "by start of the window of the first try", t.ByWindow)
	if examples > 0 {
		fmt.Fprint(tw, "\nrequests\t\n")
		for _, s := range t.ByCause() {
			for _, l := range t.Examples(s.Cause, examples) {
				fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%.3fs\t\n", s.Cause, l.ID, l.VM, l.Rule, l.At.Seconds())
			}
		}
	}
	return tw.Flush()
}

// printBy writes the lost worth by key and cause.
func (t *Table) printBy(w io.Writer, title string, key func(*Loss) string) {
	sums := t.Sums(key)
	fmt.Fprintf(w, "\n%s\t", title)
	for _, s := range t.ByCause() {
		fmt.Fprintf(w, "%s\t", s.Cause)
	}
	fmt.Fprint(w, "all\t\n")
	for _, k := range sortedKeys(sums) {
		fmt.Fprintf(w, "%s\t", k)
		all := 0.0
		for _, s := range t.ByCause() {
			fmt.Fprintf(w, "%.1f\t", sums[s.Cause][k])
			all += sums[s.Cause][k]
		}
		fmt.Fprintf(w, "%.1f\t\n", all)
	}
}
