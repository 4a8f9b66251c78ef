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

// Report holds the slopes measured in one run.
type Report struct {
	CPUs   int     `json:"cpus"`
	Slopes []Slope `json:"slopes"`
}

// roleSlopes is a role with the function that measures its slopes.
type roleSlopes struct {
	role    string
	measure func() []Slope
}

func allRoles() []roleSlopes {
	return []roleSlopes{
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
	for _, g := range allRoles() {
		names = append(names, g.role)
	}
	return names
}

// Measure measures the given roles, or all if none is given. For an unknown role
// it returns an error that lists the known ones.
func Measure(ctx context.Context, roles ...string) (*Report, error) {
	wanted := make(map[string]bool)
	for _, r := range roles {
		if !isRole(r) {
			return nil, trace.BadParameter("unknown role %q; known roles are %s", r, strings.Join(Roles(), ", "))
		}
		wanted[r] = true
	}
	report := &Report{CPUs: runtime.NumCPU()}
	for _, g := range allRoles() {
		if len(wanted) > 0 && !wanted[g.role] {
			continue
		}
		if ctx.Err() != nil {
			return nil, trace.Wrap(ctx.Err(), "interrupted before role %s", g.role)
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
			s.Role, s.Quantity, s.SizeOf, len(s.Points), s.PerUnit, s.Intercept, s.RSquared, 100*s.MaxRelativeError, s.DesignSize, s.DesignCost)
	}
	return trace.Wrap(tab.Flush())
}
