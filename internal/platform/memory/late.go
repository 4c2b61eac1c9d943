package memory

import (
	"context"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/platform"
)

// LateStore is a store that gives no response to some writes, and carries them out when CarryOut is called. It is not safe for concurrent
// use.
type LateStore struct {
	platform.Store
	// Lose is the number of next writes without a response.
	Lose int
	late []func()
}

// Put implements platform.Store.
func (s *LateStore) Put(ctx context.Context, key string, value []byte, opts platform.PutOptions) (int64, error) {
	if s.Lose == 0 {
		return s.Store.Put(ctx, key, value, opts)
	}
	s.Lose--
	s.late = append(s.late, func() { _, _ = s.Store.Put(ctx, key, value, opts) }) // nobody receives the outcome
	return 0, errors.Mark(errors.New("no response"), platform.ErrUnknownOutcome)
}

// CarryOut carries out the writes without a response, if their conditions hold now, and returns their number.
func (s *LateStore) CarryOut() int {
	late := s.late
	s.late = nil
	for _, write := range late {
		write()
	}
	return len(late)
}
