package report

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"masticturn/internal/bench"
)

// Format is the version of the files that Write writes. Read takes no other.
const Format = 1

// maxRunBytes bounds the files that Read takes.
const maxRunBytes = 16 << 20

// Run is one scenario that was run, with what is needed to run it again.
type Run struct {
	Format  int                   `json:"format"`
	Name    string                `json:"name"`
	Began   time.Time             `json:"began"`
	Version string                `json:"version"` // of the program
	Cores   int                   `json:"cores"`   // of the machine
	Command string                `json:"command"` // runs this scenario alone
	Result  *bench.SteeringReport `json:"result"`
}

// Skipped is a scenario that has no result.
type Skipped struct {
	Deployment string
	Scenario   string
	Cause      string
}

// Write writes the run as JSON.
func (r *Run) Write(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return trace.Wrap(enc.Encode(r), "writing run %s", r.Name)
}

// Read reads a run that Write wrote. Anything else is a trace.BadParameter.
func Read(from io.Reader) (*Run, error) {
	text, err := io.ReadAll(io.LimitReader(from, maxRunBytes+1))
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if len(text) > maxRunBytes {
		return nil, trace.BadParameter("more than %d bytes", maxRunBytes)
	}
	r := &Run{}
	if err := json.Unmarshal(text, r); err != nil {
		return nil, trace.BadParameter("not a run: %v", err)
	}
	if r.Format != Format {
		return nil, trace.BadParameter("format %d of the run, known is %d", r.Format, Format)
	}
	if r.Result == nil || len(r.Result.Runs) == 0 {
		return nil, trace.BadParameter("a run without a result")
	}
	return r, nil
}

// FileName returns a name for the run's file that tells when it began.
func (r *Run) FileName() string {
	return fmt.Sprintf("%s-%s-%s.json", r.Began.UTC().Format("20060102T150405Z"), slug(r.Result.Deployment), slug(r.Result.Scenario))
}

// label names the run and its date.
func (r *Run) label() string { return r.Name + " " + date(r.Began) }

// date writes a time in UTC, as the page says.
func date(at time.Time) string { return at.UTC().Format(time.DateTime) }

// section is the runs of one scenario on one deployment.
type section struct {
	deployment string
	scenario   string
	runs       []*Run
}

// sectionsOf groups the runs, in the order in which scenarios come first; the
// runs of a section stand in the order of time.
func sectionsOf(runs []*Run) []section {
	var out []section
	for _, r := range runs {
		i := slices.IndexFunc(out, func(s section) bool {
			return s.deployment == r.Result.Deployment && s.scenario == r.Result.Scenario
		})
		if i < 0 {
			i = len(out)
			out = append(out, section{deployment: r.Result.Deployment, scenario: r.Result.Scenario})
		}
		out[i].runs = append(out[i].runs, r)
	}
	for _, s := range out {
		slices.SortStableFunc(s.runs, func(a, b *Run) int { return a.Began.Compare(b.Began) })
	}
	return out
}

// id returns the section's name within the page and in names of files.
func (s section) id() string { return slug(s.deployment) + "-" + slug(s.scenario) }

// slug keeps the letters, digits and hyphens of a name.
func slug(name string) string {
	return strings.Map(func(r rune) rune {
		if r == '-' || r >= 'a' && r <= 'z' || r >= '0' && r <= '9' {
			return r
		}
		return '_'
	}, strings.ToLower(name))
}

// series is what one policy did in one run.
type series struct {
	label string
	run   *Run
	*bench.SteeringRun
}

// series returns all series of the section. A label names the run only where
// there are several.
func (s section) series() []series {
	var out []series
	for _, r := range s.runs {
		for i := range r.Result.Runs {
			one := series{label: string(r.Result.Runs[i].Policy), run: r, SteeringRun: &r.Result.Runs[i]}
			if len(s.runs) > 1 {
				one.label = r.label() + ", " + one.label
			}
			out = append(out, one)
		}
	}
	return out
}
