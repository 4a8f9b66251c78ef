package capacity

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"strings"
	"text/tabwriter"

	"github.com/gravitational/trace"
)

// Report holds all slopes, measured in one run on one machine.
type Report struct {
	CPUs   int     `json:"cpus"`
	Slopes []Slope `json:"slopes"`
}

// group measures the slopes of one role.
type group struct {
	role    string
	measure func() []Slope
}

func groups() []group {
	return []group{
		{"look-up", lookupSlopes},
		{"measurement", measureSlopes},
		{roleGrants, grantSlopes},
		{roleMembership, membershipSlopes},
		{roleConfiguration, configurationSlopes},
		{roleConsole, consoleSlopes},
	}
}

// Roles returns the names of the roles that can be measured.
func Roles() []string {
	var names []string
	for _, g := range groups() {
		names = append(names, g.role)
	}
	return names
}

// Measure measures the given roles, or all when none is given. An unknown role
// is an error that names those known.
func Measure(ctx context.Context, roles ...string) (*Report, error) {
	wanted := make(map[string]bool)
	for _, r := range roles {
		if !isRole(r) {
			return nil, trace.BadParameter("unknown role %q; known are %s", r, strings.Join(Roles(), ", "))
		}
		wanted[r] = true
	}
	report := &Report{CPUs: runtime.NumCPU()}
	for _, g := range groups() {
		if len(wanted) > 0 && !wanted[g.role] {
			continue
		}
		if ctx.Err() != nil {
			return nil, trace.Wrap(ctx.Err(), "before role %s", g.role)
		}
		report.Slopes = append(report.Slopes, g.measure()...)
	}
	return report, nil
}

func isRole(name string) bool {
	for _, r := range Roles() {
		if r == name {
			return true
		}
	}
	return false
}

// Print writes the report as a table.
func (r *Report) Print(w io.Writer) error {
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "ROLE\tQUANTITY\tOVER\tPOINTS\tPER UNIT\tAT 0\tR²\tMAX OFF\tDESIGN SIZE\tAT DESIGN SIZE")
	for _, s := range r.Slopes {
		fmt.Fprintf(tab, "%s\t%s\t%s\t%d\t%.4g\t%.4g\t%.3f\t%.0f%%\t%.4g\t%.4g\n",
			s.Role, s.Quantity, s.Over, len(s.Points), s.PerUnit, s.Intercept, s.RSquared, 100*s.MaxOff, s.DesignAt, s.Design)
	}
	return trace.Wrap(tab.Flush())
}
