package command

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"masticturn/internal/bench"
	"masticturn/internal/bench/cluster"
	"masticturn/internal/edge"
)

const (
	flagHold = "hold"
	flagRate = "rate"
)

func newDemo() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a complete deployment with stand-ins and load in this process",
		Flags: []cli.Flag{
			deploymentFlag(),
			&cli.DurationFlag{Name: flagDuration, Value: 10 * time.Second, Usage: "how long callers send requests"},
			&cli.FloatFlag{Name: flagRate, Value: 600, Usage: "requests per second"},
			&cli.BoolFlag{Name: flagHold, Usage: "keep the deployment running afterwards until a signal arrives"},
			jsonFlag(),
		},
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, c *cli.Command) error {
	doc, err := exampleDocument(c)
	if err != nil {
		return err
	}
	token, tokenFile, err := writeToken()
	if err != nil {
		return err
	}
	defer os.Remove(tokenFile)
	opts := bench.DemoOptions{
		Document:  doc,
		Start:     bench.StartDaemon,
		Duration:  c.Duration(flagDuration),
		Rate:      c.Float(flagRate),
		TokenFile: tokenFile,
	}
	if isTerminal(c.Root().ErrWriter) {
		opts.Progress = func(p bench.DemoProgress) { printProgress(c.Root().ErrWriter, p) }
	}
	if c.Bool(flagHold) {
		opts.Hold = func(cl *cluster.Cluster) { hold(ctx, c.Root().ErrWriter, cl, token) }
	}
	report, err := bench.Demo(ctx, opts)
	if err != nil {
		return trace.Wrap(err, "demo")
	}
	if err := printDemo(c, report); err != nil {
		return err
	}
	return checkPromises(report.BrokenPromises)
}

// writeToken writes a random operators' token for this run to a temporary file.
func writeToken() (token, file string, err error) {
	f, err := os.CreateTemp("", "masticturn-token-")
	if err != nil {
		return "", "", trace.ConvertSystemError(err)
	}
	defer f.Close()
	token = rand.Text()
	if _, err := f.WriteString(token); err != nil {
		return "", "", trace.ConvertSystemError(err)
	}
	return token, f.Name(), nil
}

// isTerminal reports whether w is a terminal, on which a progress line can be
// overwritten.
func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

func printProgress(w io.Writer, p bench.DemoProgress) {
	var headroom []string
	for _, r := range p.Headroom {
		headroom = append(headroom, fmt.Sprintf("%s %.0f%%", r.Region, 100*r.Now))
	}
	fmt.Fprintf(w, "\r\x1b[K%4.1fs left  %d requests  %d answered  %d not run  %d unknown  p99 %.0f ms  headroom: %s",
		max(p.Left, 0).Seconds(), p.Load.Requests, p.Load.Answered, p.Load.NotRun, p.Load.Unknown, p.Load.P99MS, strings.Join(headroom, ", "))
}

// hold prints the addresses of the console and the VMs and waits for a signal.
func hold(ctx context.Context, w io.Writer, c *cluster.Cluster, token string) {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	fmt.Fprintf(w, "\nconsole:  http://%s%s\ntoken:    %s\n", c.VMs[0].Settings.Listen.Operators, edge.PathConsole, token)
	for _, vm := range c.VMs {
		fmt.Fprintf(w, "%s  callers http://%s  operators http://%s  zone %s\n",
			vm.Settings.VM.Name, vm.Settings.Listen.Callers, vm.Settings.Listen.Operators, vm.Settings.VM.Zone)
	}
	fmt.Fprintln(w, "running until a signal arrives (Ctrl-C)")
	<-ctx.Done()
}

func printDemo(c *cli.Command, r *bench.DemoReport) error {
	w := c.Root().Writer
	if c.Bool(flagJSON) {
		return printJSON(w, r)
	}
	fmt.Fprintf(w, "\n%s: %d VMs, %d targets, %.1f s\n", r.Deployment, r.VMs, r.Targets, r.Seconds)
	fmt.Fprintf(w, "%d requests: %d answered, %d not run, %d unknown; p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms\n\n",
		r.Requests, r.Answered, r.NotRun, r.Unknown, r.P50MS, r.P99MS, r.P999MS)
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tab, "SERVICE\tCLASS\tREQUESTS\tANSWERED\tNOT RUN\tUNKNOWN\tP50 MS\tP99 MS\tP99.9 MS\t")
	for _, cl := range r.Classes {
		fmt.Fprintf(tab, "%s\t%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t\n",
			cl.Service, cl.Class, cl.Requests, cl.Answered, cl.NotRun, cl.Unknown, cl.P50MS, cl.P99MS, cl.P999MS)
	}
	fmt.Fprintln(tab, "\nREGION\tSLOTS\tMEAN HEADROOM\tLEAST HEADROOM\t")
	for _, h := range r.Headroom {
		fmt.Fprintf(tab, "%s\t%d\t%.0f%%\t%.0f%%\t\n", h.Region, h.Slots, 100*h.Mean, 100*h.Least)
	}
	if err := tab.Flush(); err != nil {
		return trace.Wrap(err)
	}
	for _, reason := range r.Reasons {
		fmt.Fprintf(w, "%d %s tries were answered %s at step %s: %s\n", reason.Count, reason.Class, reason.Told, reason.Step, reason.Detail)
	}
	fmt.Fprintf(w, "\nbroken promises: %d\n", r.BrokenPromises)
	return nil
}
