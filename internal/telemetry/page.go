package telemetry

import (
	"fmt"
	"strings"
)

// Page returns the catalogue as the page docs/EVENTS.md. The page lists the
// events of the packages that are linked into the program.
func Page() string {
	var b strings.Builder
	b.WriteString("# Events of the log\n\n")
	b.WriteString("Each log line carries its number in the field `event`. ")
	b.WriteString("This page is the output of `masticturn events`; a test fails where the two differ.\n\n")
	b.WriteString("| number | level | text | what happened | what the operator does |\n")
	b.WriteString("| --- | --- | --- | --- | --- |\n")
	for _, e := range Catalogue() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s |\n", e.Number, e.Level, e.Name, e.Meaning, e.Action)
	}
	return b.String()
}
