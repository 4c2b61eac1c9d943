package configstore

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/core/configview"
)

// SetDrain starts or ends the drain of an endpoint as a new revision. It reads and writes no shard. A later Apply of files that
// say otherwise replaces it.
func (s *Store) SetDrain(ctx context.Context, endpoint string, drain bool, change Change) (*Result, error) {
	return s.editGeneral(ctx, change, func(general *config.Config) error { return drainEndpoint(general, endpoint, drain) })
}

// SetDataCentreDrain starts or ends the drain of a data centre, as SetDrain does that of an endpoint.
func (s *Store) SetDataCentreDrain(ctx context.Context, dataCentre string, drain bool, change Change) (*Result, error) {
	return s.editGeneral(ctx, change, func(general *config.Config) error { return drainDataCentre(general, dataCentre, drain) })
}

// editGeneral writes a revision whose general part edit has changed, or none if it changes nothing.
func (s *Store) editGeneral(ctx context.Context, change Change, edit func(general *config.Config) error) (*Result, error) {
	return rebuild(func() (*Result, error) {
		head, at, err := s.Head(ctx)
		if err != nil {
			return nil, err
		}
		content, err := s.Content(ctx, head, []configview.Digest{head.General})
		if err != nil {
			return nil, err
		}
		old, err := configview.DecodeGeneral(content[head.General])
		if err != nil {
			return nil, err
		}
		general, err := configview.DecodeGeneral(content[head.General])
		if err != nil {
			return nil, err
		}
		if err := edit(general); err != nil {
			return nil, err
		}
		changes := config.Diff(old, general)
		if len(changes) == 0 {
			return &Result{Head: head}, nil
		}
		h := s.nextHead(&Snapshot{Head: head}, change)
		value, err := configview.EncodeGeneral(general)
		if err != nil {
			return nil, errors.Wrap(err, "encode the general part")
		}
		h.General = configview.DigestOf(value)
		if err := s.commit(ctx, at, h, map[configview.Digest][]byte{h.General: value}); err != nil {
			return nil, err
		}
		return &Result{Head: h, Changes: changes}, nil
	})
}

func drainEndpoint(general *config.Config, name string, drain bool) error {
	for i := range general.Endpoints {
		if general.Endpoints[i].Name == name {
			general.Endpoints[i].Drain = drain
			return nil
		}
	}
	return errors.Newf("endpoint %q is not in the configuration in force", name)
}

func drainDataCentre(general *config.Config, name string, drain bool) error {
	for i := range general.Regions {
		r := &general.Regions[i]
		if !slices.Contains(r.DataCentres, name) {
			continue
		}
		r.DrainDataCentres = slices.DeleteFunc(r.DrainDataCentres, func(dc string) bool { return dc == name })
		if drain {
			r.DrainDataCentres = append(r.DrainDataCentres, name)
			slices.Sort(r.DrainDataCentres)
		}
		return nil
	}
	return errors.Newf("data centre %q is not in the configuration in force", name)
}
