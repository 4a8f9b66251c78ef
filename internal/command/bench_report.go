package command

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"masticturn/examples"
	"masticturn/internal/bench"
	"masticturn/internal/bench/report"
	"masticturn/internal/config"
	"masticturn/internal/steering"
)

const (
	flagOut    = "out"
	flagBeside = "beside"
	flagName   = "name"
	pageFile   = "index.html"

	reportTimeout = 10 * time.Minute
)

func newBenchReport() *cli.Command {
	scenarios := strings.Join(bench.SteeringScenarios(), ", ")
	return &cli.Command{
		Name:  "report",
		Usage: "run the steering scenarios and write a page with plots",
		Description: "Writes " + pageFile + ", the plots as SVG files and each run as a JSON file, which --beside takes later.\n" +
			"Only what the policy broker breaks counts as broken. Several policies at once shorten the scenarios.",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: flagDeployment, Value: []string{"estiba"}, Usage: "example `NAME`: estiba or lydspor (may be repeated)"},
			&cli.StringSliceFlag{Name: flagScenario, Value: bench.SteeringScenarios(), Usage: scenarios + " (may be repeated)"},
			&cli.StringSliceFlag{Name: flagPolicy, Value: []string{string(steering.PolicyBroker)}, Usage: policyNames() + " or " + allPolicies + " (may be repeated)"},
			&cli.Uint64Flag{Name: flagSeed, Value: 1, Usage: "seed of arrivals and service times"},
			&cli.StringFlag{Name: flagName, Value: "run", Usage: "`NAME` of the runs in plots and tables"},
			&cli.StringFlag{Name: flagOut, Value: "report", Usage: "`DIRECTORY` to write to"},
			&cli.StringSliceFlag{Name: flagBeside, Usage: "JSON `FILE` of an older run to lay beside (may be repeated)"},
			&cli.DurationFlag{Name: flagTimeout, Value: reportTimeout, Usage: "no scenario runs longer than until then"},
		},
		Action: runBenchReport,
	}
}

// reportRunner runs the scenarios of one report.
type reportRunner struct {
	cmd      *cli.Command
	policies []steering.PolicyName
	out      string
	report   report.Report
	beside   []*report.Run
	broken   int
}

func runBenchReport(ctx context.Context, c *cli.Command) error {
	r := &reportRunner{cmd: c, out: c.String(flagOut)}
	plan, err := r.prepare()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration(flagTimeout))
	defer cancel()
	for _, one := range plan {
		if err := r.run(ctx, one); err != nil {
			return err
		}
	}
	if err := r.write(); err != nil {
		return err
	}
	if err := checkPromises(r.broken); err != nil {
		return err
	}
	if n := len(r.report.Skipped); n > 0 {
		return trace.Errorf("bench report: %d of %d scenarios without a result, see %s", n, len(plan), r.path(pageFile))
	}
	return nil
}

// plannedScenario is a scenario to run on an example deployment.
type plannedScenario struct {
	document *config.Document
	scenario string
}

// prepare checks all arguments before anything runs.
func (r *reportRunner) prepare() ([]plannedScenario, error) {
	var err error
	if r.policies, err = policiesOf(r.cmd.StringSlice(flagPolicy)); err != nil {
		return nil, err
	}
	for _, path := range r.cmd.StringSlice(flagBeside) {
		if err := r.readBeside(path); err != nil {
			return nil, usageError(trace.Wrap(err, "--%s %s", flagBeside, path))
		}
	}
	plan, err := r.plan()
	if err != nil {
		return nil, usageError(err)
	}
	return plan, trace.Wrap(os.MkdirAll(r.out, 0o755), "making --%s", flagOut)
}

func (r *reportRunner) readBeside(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer f.Close()
	run, err := report.Read(f)
	if err != nil {
		return err
	}
	r.beside = append(r.beside, run)
	return nil
}

func (r *reportRunner) plan() ([]plannedScenario, error) {
	var plan []plannedScenario
	for _, deployment := range r.cmd.StringSlice(flagDeployment) {
		text, ok := examples.Document(deployment)
		if !ok {
			return nil, trace.BadParameter("--%s %s: known are %v", flagDeployment, deployment, examples.Names())
		}
		doc, err := config.Parse(text)
		if err != nil {
			return nil, err
		}
		for _, scenario := range r.cmd.StringSlice(flagScenario) {
			if !bench.KnownSteeringScenario(scenario) {
				return nil, trace.BadParameter("--%s %s: known are %s", flagScenario, scenario, strings.Join(bench.SteeringScenarios(), ", "))
			}
			plan = append(plan, plannedScenario{doc, scenario})
		}
	}
	return plan, nil
}

// run runs one scenario and writes its JSON file. A scenario that fails, or
// that the time did not suffice for, is told on the page.
func (r *reportRunner) run(ctx context.Context, one plannedScenario) error {
	r.tell("%s on %s", one.scenario, one.document.Deployment)
	began := time.Now()
	result, err := bench.Steering(ctx, bench.SteeringOptions{
		Document: one.document,
		Start:    bench.StartDaemon,
		Scenario: one.scenario,
		Policies: r.policies,
		Seed:     r.cmd.Uint64(flagSeed),
	})
	if ctx.Err() != nil { // what was measured until then is of a part of the scenario
		err = trace.LimitExceeded("not run to its end: %v (--%s %v)", ctx.Err(), flagTimeout, r.cmd.Duration(flagTimeout))
	}
	if err != nil {
		r.skip(one, err)
		return nil
	}
	r.broken += result.BrokenPromises
	run := &report.Run{
		Format:  report.Format,
		Name:    r.cmd.String(flagName),
		Began:   began,
		Version: version(),
		Cores:   runtime.NumCPU(),
		Command: r.commandOf(one),
		Result:  result,
	}
	r.report.Runs = append(r.report.Runs, run)
	return r.writeFile(run.FileName(), run.Write)
}

func (r *reportRunner) skip(one plannedScenario, err error) {
	cause := trace.UserMessage(err)
	r.tell("%s on %s: %s", one.scenario, one.document.Deployment, cause)
	r.report.Skipped = append(r.report.Skipped, report.Skipped{
		Deployment: one.document.Deployment,
		Scenario:   one.scenario,
		Cause:      cause,
	})
}

// commandOf returns the command that runs one scenario alone.
func (r *reportRunner) commandOf(one plannedScenario) string {
	text := fmt.Sprintf("masticturn bench report --%s %s --%s %s --%s %d",
		flagDeployment, one.document.Deployment, flagScenario, one.scenario, flagSeed, r.cmd.Uint64(flagSeed))
	for _, p := range r.policies {
		text += fmt.Sprintf(" --%s %s", flagPolicy, p)
	}
	return text
}

// write writes the page and the plots.
func (r *reportRunner) write() error {
	r.report.Written = time.Now()
	r.report.Runs = append(r.report.Runs, r.beside...)
	var page bytes.Buffer
	plots, err := r.report.Write(&page)
	if err != nil {
		return err
	}
	for _, p := range plots {
		if err := r.writeBytes(p.Name, p.SVG); err != nil {
			return err
		}
	}
	if err := r.writeBytes(pageFile, page.Bytes()); err != nil {
		return err
	}
	_, err = fmt.Fprintln(r.cmd.Root().Writer, r.path(pageFile))
	return err
}

func (r *reportRunner) path(name string) string { return filepath.Join(r.out, name) }

func (r *reportRunner) writeFile(name string, write func(io.Writer) error) error {
	var text bytes.Buffer
	if err := write(&text); err != nil {
		return err
	}
	return r.writeBytes(name, text.Bytes())
}

func (r *reportRunner) writeBytes(name string, text []byte) error {
	return trace.Wrap(os.WriteFile(r.path(name), text, 0o644), "writing %s", name)
}

// tell writes a line of progress.
func (r *reportRunner) tell(format string, args ...any) {
	fmt.Fprintf(r.cmd.Root().ErrWriter, "bench report: "+format+"\n", args...)
}
