package command

import (
	"context"
	"strings"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"masticturn/internal/bench"
	"masticturn/internal/steering"
)

const (
	flagScenario = "scenario"
	flagPolicy   = "policy"
	flagLoad     = "load"
	allPolicies  = "all"
)

func newBenchSteering() *cli.Command {
	return newScenarioCommand("steering", "compare caps, headroom and latency under load and faults, by policy",
		func(ctx context.Context, c *cli.Command) (scenarioResult, error) {
			doc, err := exampleDocument(c)
			if err != nil {
				return scenarioResult{}, err
			}
			policies, err := parsePolicies(c.StringSlice(flagPolicy))
			if err != nil {
				return scenarioResult{}, err
			}
			r, err := bench.Steering(ctx, bench.SteeringOptions{
				Document: doc,
				Start:    bench.StartDaemon,
				Scenario: c.String(flagScenario),
				Policies: policies,
				Load:     c.Float64(flagLoad),
				Seed:     c.Uint64(flagSeed),
			})
			if err != nil {
				return scenarioResult{}, err
			}
			return scenarioResult{r, r.BrokenPromises}, nil
		},
		deploymentFlag(),
		&cli.StringFlag{Name: flagScenario, Value: "steady", Usage: strings.Join(bench.SteeringScenarios(), ", ")},
		&cli.StringSliceFlag{Name: flagPolicy, Value: []string{string(steering.PolicyBroker)}, Usage: policyNames() + " or " + allPolicies + " (may be repeated)"},
		&cli.Float64Flag{Name: flagLoad, Usage: "offered load as a fraction of the targets' capacity (0: the scenario's default)"},
		&cli.Uint64Flag{Name: flagSeed, Value: 1, Usage: "seed of arrivals and service times"})
}

func policyNames() string { return joinNames(steering.Policies()) }

// joinNames joins names with commas for usage texts and errors.
func joinNames[T ~string](names []T) string {
	var out []string
	for _, n := range names {
		out = append(out, string(n))
	}
	return strings.Join(out, ", ")
}

func parsePolicies(names []string) ([]steering.PolicyName, error) {
	var out []steering.PolicyName
	for _, name := range names {
		if name == allPolicies {
			return steering.Policies(), nil
		}
		known := false
		for _, p := range steering.Policies() {
			known = known || string(p) == name
		}
		if !known {
			return nil, usageError(trace.BadParameter("--%s %s: known are %s, %s", flagPolicy, name, policyNames(), allPolicies))
		}
		out = append(out, steering.PolicyName(name))
	}
	return out, nil
}
