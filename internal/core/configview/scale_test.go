package configview

import (
	"fmt"
	"testing"

	"dogwoodknot.example/dogwoodknot/internal/config"
)

// scaleOrganisations is the number of organisations that is expected in two years, each with two keys.
const scaleOrganisations = 34_000

func scaleShards() map[int]*Shard {
	shards := make(map[int]*Shard)
	for i := range scaleOrganisations {
		name := fmt.Sprintf("organisation-%05d", i)
		o := ShardOrganisation{Organisation: config.Organisation{Name: name, Rate: 100, Burst: 5000, Weight: 1, Home: "lima"}}
		for k := range 2 {
			id := fmt.Sprintf("%d-%012x", i, k)
			o.Issued = append(o.Issued, config.Key{ID: id, SHA256: HashSecret(id)})
		}
		j := ShardOf(name)
		if shards[j] == nil {
			shards[j] = new(Shard)
		}
		shards[j].Organisations = append(shards[j].Organisations, o)
	}
	return shards
}

// BenchmarkAcceptOneShard measures a change of one organisation among 34,000, which happens 560 times a day at each
// instance.
func BenchmarkAcceptOneShard(b *testing.B) {
	shards := scaleShards()
	s := NewState()
	h, content := contentOf(b, 1, shards)
	if _, err := s.Accept(h, content); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for i := range b.N {
		b.StopTimer()
		o := &shards[7].Organisations[0]
		o.Issued = append(o.Issued[:2], config.Key{ID: fmt.Sprintf("new-%d", i), SHA256: HashSecret("x")})
		c, err := shards[7].Encode()
		if err != nil {
			b.Fatal(err)
		}
		next := *h
		next.Revision = int64(i + 2)
		next.Shards[7] = DigestOf(c)
		b.StartTimer()
		if _, err := s.Accept(&next, map[Digest][]byte{next.Shards[7]: c}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkAcceptAll measures a start with 34,000 organisations.
func BenchmarkAcceptAll(b *testing.B) {
	h, content := contentOf(b, 1, scaleShards())
	b.ReportAllocs()
	for b.Loop() {
		if _, err := NewState().Accept(h, content); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkAuthenticate measures the check of a key, which is done for each request.
func BenchmarkAuthenticate(b *testing.B) {
	s := NewState()
	h, content := contentOf(b, 1, scaleShards())
	view, err := s.Accept(h, content)
	if err != nil {
		b.Fatal(err)
	}
	id := fmt.Sprintf("%d-%012x", 777, 1)
	key := FormatKey(id, id)
	b.ReportAllocs()
	for b.Loop() {
		if _, _, status := view.Authenticate(key); status != KeyValid {
			b.Fatal(status)
		}
	}
}
