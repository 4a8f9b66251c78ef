package command

import (
	"context"
	"slices"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"masticturn/internal/placement"
	"masticturn/internal/placement/emulation"
)

const allLoads = "all"

func newBenchPlacement() *cli.Command {
	return newScenarioCommand("placement", "compare placement policies under emulated loads on a platform",
		func(_ context.Context, c *cli.Command) (scenarioResult, error) {
			loads, err := placementLoads(c.String(flagLoad))
			if err != nil {
				return scenarioResult{}, err
			}
			policies, err := parsePlacementPolicies(c.StringSlice(flagPolicy))
			if err != nil {
				return scenarioResult{}, err
			}
			var results []*emulation.Result
			for _, l := range loads {
				for _, policy := range policies {
					results = append(results, emulation.Run(l, policy, c.Uint64(flagSeed)))
				}
			}
			return scenarioResult{report: results}, nil
		},
		&cli.StringFlag{Name: flagLoad, Value: allLoads, Usage: placementLoadNames() + " or " + allLoads + " (excludes grown and shifted loads)"},
		&cli.StringSliceFlag{Name: flagPolicy, Value: []string{allPolicies}, Usage: placementPolicyNames() + " or " + allPolicies + " (may be repeated)"},
		&cli.Uint64Flag{Name: flagSeed, Value: 1, Usage: "seed of arrivals and service times"})
}

func placementLoads(name string) ([]*emulation.Workload, error) {
	if name == allLoads {
		return emulation.Workloads(), nil
	}
	l := emulation.WorkloadByName(name)
	if l == nil {
		return nil, usageError(trace.BadParameter("--%s %s: known are %s, %s", flagLoad, name, placementLoadNames(), allLoads))
	}
	return []*emulation.Workload{l}, nil
}

func placementLoadNames() string {
	var names []string
	for _, l := range slices.Concat(emulation.Workloads(), emulation.GrownWorkloads(), emulation.ShiftedWorkloads()) {
		names = append(names, l.Name)
	}
	return joinNames(names)
}

func parsePlacementPolicies(names []string) ([]placement.Policy, error) {
	var out []placement.Policy
	for _, name := range names {
		if name == allPolicies {
			return placement.Policies(), nil
		}
		policy, err := parsePlacementPolicy(name)
		if err != nil {
			return nil, err
		}
		out = append(out, policy)
	}
	return out, nil
}

// parsePlacementPolicy returns the policy with a name given on the command line.
func parsePlacementPolicy(name string) (placement.Policy, error) {
	policy := placement.Policy(name)
	if !policy.Valid() {
		return "", usageError(trace.BadParameter("--%s %s: known are %s", flagPolicy, name, placementPolicyNames()))
	}
	return policy, nil
}

func placementPolicyNames() string { return joinNames(placement.Policies()) }
