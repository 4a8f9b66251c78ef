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
		Description: "Writes " + pageFile + ", the plots as SVG files and each run as a JSON file that --beside accepts.\n" +
			"Only promises broken under the policy broker count. Scenarios are shorter with several policies.",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: flagDeployment, Value: []string{"estiba"}, Usage: "example `NAME`: estiba or lydspor (may be repeated)"},
			&cli.StringSliceFlag{Name: flagScenario, Value: bench.SteeringScenarios(), Usage: scenarios + " (may be repeated)"},
			&cli.StringSliceFlag{Name: flagPolicy, Value: []string{string(steering.PolicyBroker)}, Usage: policyNames() + " or " + allPolicies + " (may be repeated)"},
			&cli.Uint64Flag{Name: flagSeed, Value: 1, Usage: "seed of arrivals and service times"},
			&cli.StringFlag{Name: flagName, Value: "run", Usage: "`NAME` of the runs in plots and tables"},
			&cli.StringFlag{Name: flagOut, Value: "report", Usage: "`DIRECTORY` to write to"},
			&cli.StringSliceFlag{Name: flagBeside, Usage: "JSON `FILE` of an earlier run to compare with (may be repeated)"},
			&cli.DurationFlag{Name: flagTimeout, Value: reportTimeout, Usage: "time limit for all scenarios together"},
		},
		Action: runBenchReport,
	}
}

// reportRunner runs the scenarios of one report.
type reportRunner struct {
	cmd         *cli.Command
	policies    []steering.PolicyName
	out         string
	report      report.Report
	earlierRuns []*report.Run
	broken      int
}

func runBenchReport(ctx context.Context, c *cli.Command) error {
	r := &reportRunner{cmd: c, out: c.String(flagOut)}
	plan, err := r.prepare()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration(flagTimeout))
	defer cancel()
	for _, planned := range plan {
		if err := r.run(ctx, planned); err != nil {
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
		return trace.Errorf("bench report: %d of %d scenarios have no result, see %s", n, len(plan), r.path(pageFile))
	}
	return nil
}

// plannedScenario is a scenario to run on an example deployment.
type plannedScenario struct {
	document *config.Document
	scenario string
}

// prepare validates all arguments before any scenario runs, and makes the output directory.
func (r *reportRunner) prepare() ([]plannedScenario, error) {
	var err error
	if r.policies, err = parsePolicies(r.cmd.StringSlice(flagPolicy)); err != nil {
		return nil, err
	}
	for _, path := range r.cmd.StringSlice(flagBeside) {
		if err := r.readEarlierRun(path); err != nil {
			return nil, usageError(trace.Wrap(err, "--%s %s", flagBeside, path))
		}
	}
	plan, err := r.plan()
	if err != nil {
		return nil, usageError(err)
	}
	return plan, trace.Wrap(os.MkdirAll(r.out, 0o755), "make the directory of --%s", flagOut)
}

func (r *reportRunner) readEarlierRun(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer f.Close()
	run, err := report.Read(f)
	if err != nil {
		return err
	}
	r.earlierRuns = append(r.earlierRuns, run)
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

// run runs one scenario and writes its JSON file. A scenario that fails or
// exceeds the time limit is listed as skipped on the page.
func (r *reportRunner) run(ctx context.Context, planned plannedScenario) error {
	r.printProgress("%s on %s", planned.scenario, planned.document.Deployment)
	began := time.Now()
	result, err := bench.Steering(ctx, bench.SteeringOptions{
		Document: planned.document,
		Start:    bench.StartDaemon,
		Scenario: planned.scenario,
		Policies: r.policies,
		Seed:     r.cmd.Uint64(flagSeed),
	})
	if ctx.Err() != nil { // the result covers only a part of the scenario
		err = trace.LimitExceeded("not run to its end: %v (--%s %v)", ctx.Err(), flagTimeout, r.cmd.Duration(flagTimeout))
	}
	if err != nil {
		r.skip(planned, err)
		return nil
	}
	r.broken += result.BrokenPromises
	run := &report.Run{
		Format:  report.Format,
		Name:    r.cmd.String(flagName),
		Began:   began,
		Version: version(),
		Cores:   runtime.NumCPU(),
		Command: r.commandLine(planned),
		Result:  result,
	}
	r.report.Runs = append(r.report.Runs, run)
	return r.writeFile(run.FileName(), run.Write)
}

func (r *reportRunner) skip(planned plannedScenario, err error) {
	cause := trace.UserMessage(err)
	r.printProgress("%s on %s: %s", planned.scenario, planned.document.Deployment, cause)
	r.report.Skipped = append(r.report.Skipped, report.Skipped{
		Deployment: planned.document.Deployment,
		Scenario:   planned.scenario,
		Cause:      cause,
	})
}

// commandLine returns the command that runs only this scenario.
func (r *reportRunner) commandLine(planned plannedScenario) string {
	text := fmt.Sprintf("masticturn bench report --%s %s --%s %s --%s %d",
		flagDeployment, planned.document.Deployment, flagScenario, planned.scenario, flagSeed, r.cmd.Uint64(flagSeed))
	for _, p := range r.policies {
		text += fmt.Sprintf(" --%s %s", flagPolicy, p)
	}
	return text
}

// write writes the page and the plots, and prints the path of the page.
func (r *reportRunner) write() error {
	r.report.Written = time.Now()
	r.report.Runs = append(r.report.Runs, r.earlierRuns...)
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
	return trace.Wrap(os.WriteFile(r.path(name), text, 0o644), "write %s", name)
}

// printProgress writes a progress message to stderr.
func (r *reportRunner) printProgress(format string, args ...any) {
	fmt.Fprintf(r.cmd.Root().ErrWriter, "bench report: "+format+"\n", args...)
}
