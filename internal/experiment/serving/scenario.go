// Package serving runs a whole deployment under seeded load and faults, and compares the choice of endpoints with its
// baselines.
package serving

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/core/routing"
	"dogwoodknot.example/dogwoodknot/internal/platform/memory"
	"dogwoodknot.example/dogwoodknot/internal/site"
)

// Scenario is a load with a fault in the middle.
type Scenario struct {
	Name string
	// Load is the offered work relative to the capacity of all runners.
	Load float64
	// Greedy multiplies the offered work of the first organisation.
	Greedy float64
	// Peak and LosesInstance choose the targets that hold.
	Peak, LosesInstance bool
	// Fault is injected after a third of the counted time. Nil: none.
	Fault func(ctx context.Context, s *site.Site) error
	// Return ends the fault after two thirds of the counted time. Nil: it lasts.
	Return func(s *site.Site) error
}

// Scenarios in the order of the report.
var Scenarios = []Scenario{
	{Name: "calm", Load: 0.3, Greedy: 1},
	{Name: "peak", Load: 0.8, Greedy: 1, Peak: true},
	{Name: "five-fold sender", Load: 0.4, Greedy: 5},
	{Name: "instance lost", Load: 0.4, Greedy: 1, LosesInstance: true, Fault: loseInstance},
	{Name: "region cut off", Load: 0.4, Greedy: 1, Fault: cutRegion},
	{Name: "runners of a region lost", Load: 0.4, Greedy: 1, Fault: loseRunners},
	{Name: "runners lost and back", Load: 0.4, Greedy: 1, Fault: loseRunners, Return: returnRunners},
	{Name: "store lost", Load: 0.4, Greedy: 1, Fault: loseStore},
}

// FindScenario returns a scenario by name.
func FindScenario(name string) (Scenario, error) {
	for _, s := range Scenarios {
		if s.Name == name {
			return s, nil
		}
	}
	return Scenario{}, errors.Newf("scenario %q does not exist", name)
}

// stopTimeout bounds the loss of an instance: its callers' connections are cut at once.
const stopTimeout = time.Millisecond

// loseInstance ends the second instance without a planned stop's time for its requests.
func loseInstance(ctx context.Context, s *site.Site) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	// The stop fails because it runs out of time, which is the purpose.
	_ = s.Instances[1].Kill(ctx)
	return nil
}

func cutRegion(_ context.Context, s *site.Site) error {
	s.Links.Isolate(s.Instances[len(s.Instances)-1].Place.Region)
	return nil
}

func loseRunners(_ context.Context, s *site.Site) error {
	region := s.Instances[len(s.Instances)-1].Place.Region
	for _, r := range s.Runners {
		if r.Place.Region == region {
			r.Kill()
		}
	}
	return nil
}

// returnRunners starts the lost runners again, with empty caches.
func returnRunners(s *site.Site) error {
	for _, r := range s.Runners {
		if err := r.Start(); err != nil {
			return err
		}
	}
	return nil
}

func loseStore(_ context.Context, s *site.Site) error {
	s.Store.Twin().SetFaults(memory.Faults{Down: true})
	return nil
}

// Policy is a choice of endpoints to compare.
type Policy struct {
	Name    string
	Chooser routing.Chooser // nil: the product's
}

const policyRandom = "random"

// Policies in the order of the report: the product's first.
var Policies = []Policy{
	{Name: "policy"},
	{Name: policyRandom, Chooser: routing.Random{}},
	{Name: "least reported", Chooser: routing.LeastReported{}},
}
