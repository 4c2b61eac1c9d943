// Package configstore keeps configurations in the platform's store: a head that is changed by compare-and-swap, and immutable
// content that it names by digest.
//
//	config/head                         the head in force
//	config/shard/<digest>               a shard of organisations
//	config/general/<digest>             the general part
//	config/history/<revision>/<token>   a copy of each head, written before it
//
// A history entry that no head names belongs to a writer that lost its race, and is ignored.
package configstore

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/core/configview"
	"dogwoodknot.example/dogwoodknot/internal/platform"
)

// HeadKey is the store key of the head.
const HeadKey = "config/head"

const (
	shardPrefix   = "config/shard/"
	generalPrefix = "config/general/"
	historyPrefix = "config/history/"
)

// readParallelism bounds the calls that one reader has open at the store.
const readParallelism = 8

// ErrNoConfiguration reports a store that no configuration was applied to.
var ErrNoConfiguration = errors.New("the store holds no configuration")

// Options of a Store.
type Options struct {
	// RetryFor bounds how long a write is repeated while the store is unavailable or its outcome unknown. Default 15 s.
	RetryFor time.Duration
	// RetryPause is the first pause between repeated calls; later ones are longer, up to 40 times. Default 50 ms.
	RetryPause time.Duration
	// RecordRegion returns the region that keeps an organisation's idempotency records. Nil: changes of it are not noticed.
	RecordRegion func(general *config.Config, org *config.Organisation) string
	// Now is the time written into heads. Default time.Now.
	Now func() time.Time
	// NewToken returns a value that is unique to a write. Default a random UUID.
	NewToken func() string
}

// Store reads and writes configurations.
type Store struct {
	kv   platform.Store
	opts Options
}

// New returns a store of configurations in kv.
func New(kv platform.Store, opts Options) *Store {
	if opts.RetryFor <= 0 {
		opts.RetryFor = 15 * time.Second
	}
	if opts.RetryPause <= 0 {
		opts.RetryPause = 50 * time.Millisecond
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.NewToken == nil {
		opts.NewToken = uuid.NewString
	}
	return &Store{kv: kv, opts: opts}
}

// Head returns the head in the store and the store revision that it was written at, or ErrNoConfiguration.
func (s *Store) Head(ctx context.Context) (*configview.Head, int64, error) {
	e, err := s.kv.Get(ctx, HeadKey)
	return decodeEntry(e, err)
}

// WatchHead waits for a head that was written after a store revision.
func (s *Store) WatchHead(ctx context.Context, after int64) (*configview.Head, int64, error) {
	e, err := s.kv.Watch(ctx, HeadKey, after)
	return decodeEntry(e, err)
}

func decodeEntry(e platform.Entry, err error) (*configview.Head, int64, error) {
	if errors.Is(err, platform.ErrNotFound) {
		return nil, 0, ErrNoConfiguration
	}
	if err != nil {
		return nil, 0, errors.Wrap(err, "read the head")
	}
	h, err := configview.DecodeHead(e.Value)
	if err != nil {
		return nil, 0, errors.Wrapf(err, "store key %s", HeadKey)
	}
	return h, e.Revision, nil
}

// keyOf returns the store key of content. A head names at most one general part.
func keyOf(h *configview.Head, d configview.Digest) string {
	if h.General == d {
		return generalPrefix + string(d)
	}
	return shardPrefix + string(d)
}

// Content reads the named parts of a head and checks their digests. With an error it returns the parts that were read.
func (s *Store) Content(ctx context.Context, h *configview.Head, digests []configview.Digest) (map[configview.Digest][]byte, error) {
	content := make(map[configview.Digest][]byte, len(digests))
	var mu sync.Mutex
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(readParallelism)
	for _, d := range digests {
		g.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err // another read has failed
			}
			value, err := s.readContent(ctx, keyOf(h, d), d)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			content[d] = value
			return nil
		})
	}
	return content, g.Wait()
}

func (s *Store) readContent(ctx context.Context, key string, d configview.Digest) ([]byte, error) {
	e, err := s.kv.Get(ctx, key)
	if err != nil {
		return nil, errors.Wrapf(err, "read %s", key)
	}
	if configview.DigestOf(e.Value) != d {
		return nil, errors.Newf("store key %s holds other content than its digest says", key)
	}
	return e.Value, nil
}

// retry repeats a call while the store refuses it or its outcome is unknown.
func (s *Store) retry(ctx context.Context, f func() error) error {
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		err := f()
		if err != nil && !mayRetry(err) {
			return struct{}{}, backoff.Permanent(err)
		}
		return struct{}{}, err
	}, backoff.WithMaxElapsedTime(s.opts.RetryFor), backoff.WithBackOff(s.newBackOff()))
	var permanent *backoff.PermanentError
	if errors.As(err, &permanent) {
		return permanent.Unwrap()
	}
	return err
}

func mayRetry(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrUnknownOutcome)
}

func (s *Store) newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = s.opts.RetryPause
	b.MaxInterval = 40 * s.opts.RetryPause
	return b
}

// putContent writes immutable content. Content that is there already is written again, see Prune.
func (s *Store) putContent(ctx context.Context, key string, value []byte) error {
	absent := platform.IfAbsent
	err := s.retry(ctx, func() error {
		_, err := s.kv.Put(ctx, key, value, platform.PutOptions{IfRevision: &absent})
		if errors.Is(err, platform.ErrConflict) {
			return s.touch(ctx, key, value)
		}
		return err
	})
	if errors.Is(err, platform.ErrTooLarge) {
		return errors.Wrapf(err, "%s has %d bytes, the store takes %d", key, len(value), platform.MaxValueBytes)
	}
	return errors.Wrapf(err, "write %s", key)
}

func historyKey(revision int64, token string) string {
	return fmt.Sprintf("%s%019d/%s", historyPrefix, revision, token)
}

// History returns the latest heads, newest first, following parents from the head in force.
func (s *Store) History(ctx context.Context, limit int) ([]*configview.Head, error) {
	h, _, err := s.Head(ctx)
	if err != nil {
		return nil, err
	}
	heads := []*configview.Head{h}
	for len(heads) < limit && h.Parent > 0 {
		h, err = s.past(ctx, h.Parent, h.ParentToken)
		if errors.Is(err, platform.ErrNotFound) {
			break
		}
		if err != nil {
			return nil, err
		}
		heads = append(heads, h)
	}
	return heads, nil
}

func (s *Store) past(ctx context.Context, revision int64, token string) (*configview.Head, error) {
	key := historyKey(revision, token)
	e, err := s.kv.Get(ctx, key)
	if err != nil {
		return nil, errors.Wrapf(err, "read %s", key)
	}
	return configview.DecodeHead(e.Value)
}

// At returns the head of a past revision, following parents from the head in force.
func (s *Store) At(ctx context.Context, revision int64) (*configview.Head, error) {
	h, _, err := s.Head(ctx)
	if err != nil {
		return nil, err
	}
	for h.Revision > revision && h.Parent >= revision && h.Parent > 0 {
		h, err = s.past(ctx, h.Parent, h.ParentToken)
		if err != nil {
			return nil, err
		}
	}
	if h.Revision != revision {
		return nil, errors.Newf("revision %d is not in the history of the configuration", revision)
	}
	return h, nil
}
