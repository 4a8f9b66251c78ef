package losses

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Print writes the table for people: losses by cause, each as a part of all that
// was owed, by rule, region and window, with the ids of some requests.
func (t *Table) Print(w io.Writer, examples int) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(tw, "%d requests, %.0f worth owed, %.0f lost (%.4f)\t\n", t.Requests, t.Owed, t.Lost(), t.Lost()/t.Owed)
	if t.LeftOut > 0 {
		fmt.Fprintf(tw, "at least %d lines were left out of the logs: what they told is missing\t\n", t.LeftOut)
	}
	fmt.Fprint(tw, "\ncause\tlost\tof owed\t\n")
	for _, s := range t.ByCause() {
		fmt.Fprintf(tw, "%s\t%.1f\t%.4f\t\n", s.Cause, s.Worth, s.Worth/t.Owed)
	}
	t.printBy(tw, "by rule", ByRule)
	t.printBy(tw, "by region", ByRegion)
	t.printBy(tw, "by the second in which the caller first asked", t.ByWindow)
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

// printBy writes what each cause cost by a key.
func (t *Table) printBy(w io.Writer, title string, key func(*Loss) string) {
	sums := t.Sums(key)
	fmt.Fprintf(w, "\n%s\t", title)
	for _, s := range t.ByCause() {
		fmt.Fprintf(w, "%s\t", s.Cause)
	}
	fmt.Fprint(w, "all\t\n")
	for _, k := range keys(sums) {
		fmt.Fprintf(w, "%s\t", k)
		all := 0.0
		for _, s := range t.ByCause() {
			fmt.Fprintf(w, "%.1f\t", sums[s.Cause][k])
			all += sums[s.Cause][k]
		}
		fmt.Fprintf(w, "%.1f\t\n", all)
	}
}
