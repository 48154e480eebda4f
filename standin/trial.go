package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"jacinthstage/standin/internal/trial"
)

// trialCommand measures the decision core in virtual time.
type trialCommand struct {
	deployment string
	policies   string
	weight     float64
	seed       uint64
	rate       float64
	times      float64
	minutes    float64
	exponent   float64
	steady     bool
	callers    int
	flood      float64
	fault      string
	returns    bool
	sweep      bool
	json       string
	plot       string
}

// Name implements subcommands.Command.
func (*trialCommand) Name() string { return "trial" }

// Synopsis implements subcommands.Command.
func (*trialCommand) Synopsis() string {
	return "measure the decision core against baselines in virtual time"
}

// Usage implements subcommands.Command.
func (*trialCommand) Usage() string {
	return "standin trial [-deployment passo|kelvin] [-policy ours,random,least] [-sweep] ...\n"
}

// SetFlags implements subcommands.Command.
func (c *trialCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.deployment, "deployment", "passo", "passo or kelvin")
	f.StringVar(&c.policies, "policy", "ours,random,least", "policies to run side by side")
	f.Float64Var(&c.weight, "weight", -1, "weight of ours, 0 to 1; the deployment's if negative")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the workload")
	f.Float64Var(&c.rate, "rate", 0, "requests a second; the deployment's if 0")
	f.Float64Var(&c.times, "times", 1, "factor on the rate")
	f.Float64Var(&c.minutes, "minutes", 60, "virtual minutes of arrivals")
	f.Float64Var(&c.exponent, "zipf", 1, "exponent of the popularity")
	f.BoolVar(&c.steady, "steady", false, "popularity stays")
	f.IntVar(&c.callers, "callers", 10, "callers")
	f.Float64Var(&c.flood, "flood", 0, "requests a second of one caller beside its part")
	f.StringVar(&c.fault, "fault", "", "leave, come, restart, grantor, slow or cut, halfway")
	f.BoolVar(&c.returns, "returns", false, "refused requests come back once, when they were told to")
	f.BoolVar(&c.sweep, "sweep", false, "run ours at five weights")
	f.StringVar(&c.json, "json", "", "file for the results as JSON")
	f.StringVar(&c.plot, "plot", "", "file for a plot as SVG")
}

// Execute implements subcommands.Command.
func (c *trialCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if err := c.run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *trialCommand) run() error {
	d, ok := trial.Deployments[c.deployment]
	if !ok {
		return errors.Errorf("trial: unknown deployment %q", c.deployment)
	}
	policies, err := c.selectPolicies(d)
	if err != nil {
		return err
	}
	if c.rate == 0 {
		c.rate = d.RequestRate
	}
	t := trial.Trial{
		Deployment:   d,
		Fault:        trial.Fault(c.fault),
		RetryRefused: c.returns,
		Workload: trial.Workload{
			Seed:         c.seed,
			Rate:         c.rate * c.times,
			Duration:     time.Duration(c.minutes * float64(time.Minute)),
			ZipfExponent: c.exponent,
			Steady:       c.steady,
			Callers:      c.callers,
			FloodRate:    c.flood,
		},
	}
	var results []trial.Result
	for _, p := range policies {
		results = append(results, t.Run(p))
	}
	return c.write(results)
}

// selectPolicies returns the policies named by the flags.
func (c *trialCommand) selectPolicies(d trial.Deployment) ([]trial.Policy, error) {
	weight := d.Weight
	if c.weight >= 0 {
		weight = c.weight
	}
	var policies []trial.Policy
	for _, name := range strings.Split(c.policies, ",") {
		switch {
		case name == "ours" && c.sweep:
			for _, w := range []float64{0, 0.25, 0.5, 0.75, 1} {
				policies = append(policies, trial.Product{Weight: w})
			}
		case name == "ours":
			policies = append(policies, trial.Product{Weight: weight})
		case name == "random":
			policies = append(policies, trial.Random{})
		case name == "least":
			policies = append(policies, trial.LeastLoaded{})
		default:
			return nil, errors.Errorf("trial: unknown policy %q", name)
		}
	}
	return policies, nil
}

// write prints the results and writes the files that the flags ask for.
func (c *trialCommand) write(results []trial.Result) error {
	if err := trial.Print(os.Stdout, results); err != nil {
		return errors.Wrap(err, "trial")
	}
	if c.json != "" {
		text, err := json.MarshalIndent(results, "", "\t")
		if err != nil {
			return errors.Wrap(err, "trial")
		}
		if err := os.WriteFile(c.json, text, 0o644); err != nil {
			return errors.Wrap(err, "trial")
		}
	}
	if c.plot == "" {
		return nil
	}
	return trial.Plot(c.plot, c.deployment, results)
}
