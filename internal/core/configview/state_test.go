package configview

import (
	"fmt"
	"maps"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"dogwoodknot.example/dogwoodknot/internal/config"
)

// contentOf returns the head and the content of a revision with the given shards, as the store holds them.
func contentOf(t require, revision int64, shards map[int]*Shard) (*Head, map[Digest][]byte) {
	h := &Head{Revision: revision, Token: fmt.Sprint(revision)}
	content := make(map[Digest][]byte)
	general, err := EncodeGeneral(&config.Config{})
	if err != nil {
		t.Fatal(err)
	}
	h.General = DigestOf(general)
	content[h.General] = general
	for i, s := range shards {
		c, err := s.Encode()
		if err != nil {
			t.Fatal(err)
		}
		h.Shards[i] = DigestOf(c)
		if c != nil {
			content[h.Shards[i]] = c
		}
	}
	return h, content
}

type require interface{ Fatal(args ...any) }

func shardsWith(orgs ...ShardOrganisation) map[int]*Shard {
	shards := make(map[int]*Shard)
	for _, o := range orgs {
		i := ShardOf(o.Name)
		if shards[i] == nil {
			shards[i] = new(Shard)
		}
		shards[i].Organisations = append(shards[i].Organisations, o)
	}
	return shards
}

func orgWithKey(name, id, secret string) ShardOrganisation {
	return ShardOrganisation{
		Organisation: config.Organisation{Name: name, Rate: 1, Burst: 1},
		Issued:       []config.Key{{ID: id, SHA256: HashSecret(secret)}},
	}
}

// Guards against an instance that returns to an older revision, or applies the same one again.
func TestOnlyHigherRevisionsAreAccepted(t *testing.T) {
	s := NewState()
	h, content := contentOf(t, 5, shardsWith(orgWithKey("acme", "5-a", "x")))
	if _, err := s.Accept(h, content); err != nil {
		t.Fatal(err)
	}
	for _, revision := range []int64{1, 4, 5} {
		h, content := contentOf(t, revision, nil)
		if _, err := s.Accept(h, content); !errors.Is(err, ErrNotHigher) {
			t.Errorf("revision %d: %v", revision, err)
		}
	}
	if s.View().Revision() != 5 || s.View().Organisation("acme") == nil {
		t.Errorf("view is at %d", s.View().Revision())
	}
}

// Guards against a revision that is put in force partially, or with content that was damaged in transit.
func TestIncompleteContentChangesNothing(t *testing.T) {
	s := NewState()
	h, content := contentOf(t, 1, shardsWith(orgWithKey("acme", "1-a", "x"), orgWithKey("zeta", "1-b", "x")))
	before := s.View()
	without := maps.Clone(content)
	delete(without, h.Shards[ShardOf("acme")])
	var missing *MissingError
	if _, err := s.Accept(h, without); !errors.As(err, &missing) || len(missing.Digests) != 1 {
		t.Errorf("error for a missing part: %v, want a MissingError with one digest", err)
	}
	damaged := maps.Clone(content)
	damaged[h.Shards[ShardOf("acme")]] = []byte("{}")
	if _, err := s.Accept(h, damaged); err == nil {
		t.Error("a damaged part was accepted")
	}
	if s.View() != before {
		t.Error("the view changed")
	}
}

// Guards against a new key that is rejected for good by an instance that has not received its revision.
func TestAuthenticate(t *testing.T) {
	s := NewState()
	h, content := contentOf(t, 7, shardsWith(orgWithKey("acme", "7-a", "secret")))
	view, err := s.Accept(h, content)
	if err != nil {
		t.Fatal(err)
	}
	for key, want := range map[string]KeyStatus{
		"dk_7-a_secret":                       KeyValid,
		"dk_7-a_Secret":                       KeyUnknown,
		"dk_7-a_":                             KeyUnknown,
		"dk_8-a_secret":                       KeyNewer,
		"dk_7-b_secret":                       KeyUnknown,
		"dk_x-b_secret":                       KeyUnknown,
		"dk_-9-b_secret":                      KeyUnknown,
		"7-a_secret":                          KeyUnknown,
		"":                                    KeyUnknown,
		"dk_99999999999999999999999-a_secret": KeyUnknown,
	} {
		if _, _, got := view.Authenticate(key); got != want {
			t.Errorf("Authenticate(%q) = %v, want %v", key, got, want)
		}
	}
	_, withdrawn := s.Withdraw([]string{"7-a", "9-a"})
	for key, want := range map[string]KeyStatus{
		"dk_7-a_secret": KeyWithdrawn,
		"dk_7-a_wrong":  KeyUnknown,
		"dk_9-a_secret": KeyWithdrawn, // withdrawn before its revision arrived
	} {
		if _, _, got := withdrawn.Authenticate(key); got != want {
			t.Errorf("after withdrawal: Authenticate(%q) = %v, want %v", key, got, want)
		}
	}
	if _, _, got := view.Authenticate("dk_7-a_secret"); got != KeyValid {
		t.Errorf("the older view changed to %v", got)
	}
}

// Guards against an index of keys that becomes wrong when organisations and keys move, are removed and return. Compares
// the views of a state that accepts generated revisions one after the other with views built from each revision alone.
func TestIncrementalViewsEqualFreshOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState()
		everWithdrawn := make(map[string]bool)
		steps := rapid.IntRange(1, 8).Draw(t, "steps")
		for step := range steps {
			shards := drawShards(t)
			h, content := contentOf(t, int64(step+1), shards)
			for _, shard := range shards {
				for _, id := range shard.Withdrawn {
					everWithdrawn[id] = true
				}
			}
			if rapid.Bool().Draw(t, "pushed") {
				id := fmt.Sprintf("1-%d", rapid.IntRange(0, 9).Draw(t, "pushed id"))
				s.Withdraw([]string{id})
				everWithdrawn[id] = true
			}
			view, err := s.Accept(h, content)
			if err != nil {
				t.Fatal(err)
			}
			fresh, err := NewState().Accept(h, content)
			if err != nil {
				t.Fatal(err)
			}
			compareViews(t, view, fresh, everWithdrawn)
		}
	})
}

// drawShards returns organisations whose keys are unique within a revision but move between organisations from one
// revision to the next.
func drawShards(t *rapid.T) map[int]*Shard {
	orgs := make(map[int]*ShardOrganisation)
	for k := range 10 {
		owner := rapid.IntRange(-1, 4).Draw(t, "owner")
		if owner < 0 {
			continue
		}
		if orgs[owner] == nil {
			orgs[owner] = &ShardOrganisation{Organisation: config.Organisation{Name: fmt.Sprintf("org-%d", owner), Rate: 1}}
		}
		secret := fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "secret"))
		orgs[owner].Issued = append(orgs[owner].Issued, config.Key{ID: fmt.Sprintf("1-%d", k), SHA256: HashSecret(secret)})
	}
	var list []ShardOrganisation
	for _, o := range orgs {
		list = append(list, *o)
	}
	shards := shardsWith(list...)
	if rapid.Bool().Draw(t, "withdraws") {
		shards[255] = &Shard{Withdrawn: []string{fmt.Sprintf("1-%d", rapid.IntRange(0, 9).Draw(t, "withdrawn"))}}
	}
	return shards
}

func compareViews(t *rapid.T, view, fresh *View, withdrawn map[string]bool) {
	if view.Count() != fresh.Count() || view.keys.size != fresh.keys.size {
		t.Fatalf("%d organisations and %d keys, want %d and %d", view.Count(), view.keys.size, fresh.Count(), fresh.keys.size)
	}
	for k := range 10 {
		id := fmt.Sprintf("1-%d", k)
		if view.KeyWithdrawn(id) != withdrawn[id] {
			t.Fatalf("%s withdrawn: %v, want %v", id, view.KeyWithdrawn(id), withdrawn[id])
		}
		for _, secret := range []string{"0", "1"} {
			key := FormatKey(id, secret)
			want, _, status := fresh.Authenticate(key)
			got, _, gotStatus := view.Authenticate(key)
			if withdrawn[id] {
				if gotStatus == KeyValid {
					t.Fatalf("withdrawn key %s is valid", key)
				}
				continue
			}
			if gotStatus != status || (got == nil) != (want == nil) || got != nil && got.Name != want.Name {
				t.Fatalf("%s: %v %v, want %v %v", key, got, gotStatus, want, status)
			}
		}
	}
}

// Guards against instances that take different sets of withdrawn keys for equal, or equal sets for different.
func TestWithdrawnDigest(t *testing.T) {
	a, b := NewState(), NewState()
	a.Withdraw([]string{"1-a", "1-b", "1-a"})
	b.Withdraw([]string{"1-b"})
	if a.View().WithdrawnDigest() == b.View().WithdrawnDigest() {
		t.Error("different sets have one digest")
	}
	b.Withdraw([]string{"1-a"})
	if a.View().WithdrawnDigest() != b.View().WithdrawnDigest() {
		t.Error("equal sets have different digests")
	}
}
