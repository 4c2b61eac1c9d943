package edge

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/platform"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// largeFeed is a store that holds a few large values of another writer beside a good entry and a large configuration.
type largeFeed struct{ entries []platform.Entry }

func (f largeFeed) ListAll(context.Context, string) ([]platform.Entry, platform.Version, error) {
	return slices.Clone(f.entries), platform.Version{Revision: 1}, nil
}

func (f largeFeed) WatchPrefix(context.Context, string, platform.Version, time.Duration) ([]platform.Change, platform.Version, error) {
	var changes []platform.Change
	for _, e := range f.entries {
		changes = append(changes, platform.Change{Entry: e})
	}
	return changes, platform.Version{Revision: 2}, nil
}

// Guards against a few large entries of another writer that make the answers to the instances which read the store through this one
// larger than a message may be, so that all of them read the store themselves.
func TestLargeEntriesDoNotEndTheFeed(t *testing.T) {
	f := newTestFleet(t)
	e := testEdgeIn(t, f)
	e.options.Documents = oddDocuments{}
	large := bytes.Repeat([]byte("x"), platform.MaxValueBytes)
	direct := largeFeed{[]platform.Entry{{Key: "good", Value: []byte("good")}, {Key: "configuration", Value: large}}}
	for n := range 8 {
		direct.entries = append(direct.entries, platform.Entry{Key: fmt.Sprint("large-", n), Value: large})
	}
	feed := &relayedFeed{edge: e, direct: direct}
	entries, _, err := feed.ListAll(t.Context(), "")
	if err != nil {
		t.Fatal(err)
	}
	changes, _, err := feed.WatchPrefix(t.Context(), "", platform.Version{Revision: 1}, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		changes = append(changes, platform.Change{Entry: entry})
	}
	answer := &wire.EdgeFeedAnswer{}
	for _, c := range changes[:len(changes)/2] {
		answer.Changes = append(answer.Changes, encodeChange(c))
	}
	const messageBytes = 4 << 20 // the default of internal/peer
	if n := proto.Size(answer); n > messageBytes {
		t.Errorf("an answer has %d bytes, a message at most %d", n, messageBytes)
	}
	for _, c := range changes {
		if strings.HasPrefix(c.Key, "large") == (len(c.Value) > 0) {
			t.Errorf("key %q has a value of %d bytes", c.Key, len(c.Value))
		}
	}
}

// oddDocuments takes the entry "odd" for one that names no endpoint.
type oddDocuments struct{ Documents }

func (oddDocuments) IsConfiguration(key string) bool { return key == "configuration" }

func (oddDocuments) EndpointID(key string) (string, bool) { return key, true }

func (oddDocuments) DecodeEndpoint(id string, value []byte, _ clock.Instant) (catalog.Endpoint, error) {
	if string(value) == "odd" {
		return catalog.Endpoint{}, errors.New("document is not valid")
	}
	return catalog.Endpoint{Incarnation: catalog.Incarnation{ID: id}}, nil
}

// Guards against a renewed entry that names no endpoint and is passed on to the instances that read through this one each time.
func TestRenewedOddEntryIsNotPassedOn(t *testing.T) {
	s := newState(&Options{Clock: &clock.Manual{}, Log: zap.NewNop(), Documents: oddDocuments{}})
	odd, good := platform.Entry{Key: "k", Value: []byte("odd")}, platform.Entry{Key: "k", Value: []byte("good")}
	for _, tc := range []struct {
		before, after platform.Entry
		want          bool
	}{{odd, odd, true}, {good, good, true}, {odd, good, false}, {good, odd, false}} {
		if got := s.equivalentEntry(tc.before, tc.after); got != tc.want {
			t.Errorf("%s after %s: equivalent is %v", tc.after.Value, tc.before.Value, got)
		}
	}
}
