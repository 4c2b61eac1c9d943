package configsync

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	"dogwoodknot.example/dogwoodknot/internal/core/configview"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// Guards against an edit that does not lead to the content it was made from, and against one that reads beyond its base.
func TestEditsLeadToTheContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOfN(rapid.SampledFrom([]byte("ab")), 0, 12)
		former, content := text.Draw(t, "former"), text.Draw(t, "content")
		edit := editOf(configview.DigestOf(former), former, content)
		got, err := applyEdit(former, edit)
		if err != nil || !bytes.Equal(got, content) {
			t.Fatalf("%q to %q: %q, %v", former, content, got, err)
		}
		edit.Prefix, edit.Suffix = uint32(len(former)), 1
		if _, err := applyEdit(former, edit); err == nil {
			t.Fatal("an edit that keeps more than its base holds was applied")
		}
	})
}

// Guards against a shortened head that a receiver with another head in force completes with its own shards.
func TestShortenedHeadNeedsItsBase(t *testing.T) {
	former := &configview.Head{Revision: 1, Token: "base"}
	former.Shards[3], former.Shards[4] = "c", "d"
	head := &configview.Head{Revision: 2, Token: "next"}
	head.Shards[3], head.Shards[4] = "c", ""
	short := shorten(head, former)
	if short.Shards[3] != sameShard || short.Shards[4] != "" {
		t.Fatalf("shortened to %q", short.Shards[:5])
	}
	if lengthen(short, former); short.Shards != head.Shards {
		t.Fatalf("lengthened to %q", short.Shards[:5])
	}
	f := newFleet(t)
	f.startMany("lima", 2)
	f.waitFor(f.apply(100))
	text, err := short.Encode()
	if err != nil {
		t.Fatal(err)
	}
	s := f.syncers["lima-1"]
	if err := s.offered(t.Context(), "lima-0", &wire.ConfigPush{Head: compress(text), BaseToken: "base"}); err != nil {
		t.Fatal(err)
	}
	if s.View().Revision() != 1 || s.View().Organisation("acme") == nil {
		t.Errorf("revision %d in force after the head of another base", s.View().Revision())
	}
}
