package main

import (
	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/configstore"
)

// files are a base file and its overlays.
type files struct {
	Files []string `arg:"" name:"file" help:"Base file, then overlays in order."`
}

func (f *files) load() (*config.Config, error) { return config.LoadFiles(f.Files...) }

type checkCmd struct{ files }

// Help gives examples.
func (checkCmd) Help() string {
	return `Needs neither the store nor an instance. Every fault is reported with file, line and column; the exit code is 3.

Examples:

    dogwoodctl check base.yaml veletas.yaml

    dogwoodctl check -o json base.yaml`
}

type summary struct {
	Regions       int `json:"regions"`
	Models        int `json:"models"`
	Endpoints     int `json:"endpoints"`
	Services      int `json:"services"`
	Routes        int `json:"routes"`
	Organisations int `json:"organisations"`
}

// Run checks the files.
func (c *checkCmd) Run(a *app) error {
	cfg, err := c.load()
	if err != nil {
		return err
	}
	s := summary{len(cfg.Regions), len(cfg.Models), len(cfg.Endpoints), len(cfg.Services), len(cfg.Routes), len(cfg.Organisations)}
	if a.json() {
		return a.printJSON(s)
	}
	a.printf("ok: %d regions, %d models, %d endpoints, %d services, %d routes, %d organisations\n",
		s.Regions, s.Models, s.Endpoints, s.Services, s.Routes, s.Organisations)
	return nil
}

type renderCmd struct{ files }

// Help gives examples.
func (renderCmd) Help() string {
	return `Prints the result of merging the overlays into the base, with defaults filled in.

Example:

    dogwoodctl render base.yaml veletas.yaml`
}

// Run prints the merged configuration.
func (c *renderCmd) Run(a *app) error {
	cfg, err := c.load()
	if err != nil {
		return err
	}
	if a.json() {
		return a.printJSON(cfg)
	}
	text, err := config.Render(cfg)
	if err != nil {
		return err
	}
	a.printf("%s", text)
	return nil
}

type diffCmd struct {
	files
	Revision int64 `help:"Compare with this revision instead of the one in the store's head." placeholder:"N"`
	ExitCode bool  `help:"Exit with 7 if there are differences."`
}

// Help gives examples.
func (diffCmd) Help() string {
	return `Compares by meaning: order and layout of the files do not count.

Examples:

    dogwoodctl diff base.yaml veletas.yaml

    dogwoodctl diff --revision 41 --exit-code base.yaml veletas.yaml`
}

type diffOutput struct {
	Revision int64           `json:"revision"`
	Changes  []config.Change `json:"changes"`
}

// Run shows the differences.
func (c *diffCmd) Run(a *app) error {
	cfg, err := c.load()
	if err != nil {
		return err
	}
	base, changes, err := c.compare(a, cfg)
	if err != nil {
		return err
	}
	if a.json() {
		if changes == nil {
			changes = []config.Change{}
		}
		err = a.printJSON(diffOutput{base.Revision(), changes})
	} else {
		a.printChanges(changes)
	}
	if err == nil && c.ExitCode && len(changes) > 0 {
		return withCode(codeDifferences, "%d differences from revision %d", len(changes), base.Revision())
	}
	return err
}

func (c *diffCmd) compare(a *app, cfg *config.Config) (*configstore.Snapshot, []config.Change, error) {
	s, err := a.configurations()
	if err != nil {
		return nil, nil, err
	}
	if c.Revision == 0 {
		base, changes, err := s.DryRun(a.ctx, cfg)
		var slots *configstore.SlotsError
		if errors.As(err, &slots) {
			a.warnf("apply would refuse this: %v", slots)
			err = nil
		}
		return base, changes, err
	}
	head, err := s.At(a.ctx, c.Revision)
	if err != nil {
		return nil, nil, err
	}
	base, err := s.Snapshot(a.ctx, head)
	if err != nil {
		return nil, nil, err
	}
	return base, config.Diff(base.Declared(), cfg), nil
}
