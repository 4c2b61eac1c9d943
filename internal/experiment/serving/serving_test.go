package serving

import (
	"strings"
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/load"
	"dogwoodknot.example/dogwoodknot/internal/site"
)

// Guards against refusals that are called rightful although the organisation was within its rate, and the reverse.
func TestJudgeCountsWrongfulRefusals(t *testing.T) {
	orgs := []site.Organisation{{Name: "moara-alba", Rate: 10, Burst: 20}}
	chat := &load.Stream{Kind: load.Chat, Organisation: "moara-alba", OutputTokens: 5}
	at := func(s time.Duration, entry string, status int) load.Result {
		return load.Result{Stream: chat, At: s * time.Second, Entry: entry, PromptTokens: 5, Status: status, Whole: status == 200}
	}
	results := []load.Result{
		at(0, "a", 200), at(0, "a", 200), // the burst is used up: half a share's 10 tokens are gone with the first
		at(0, "b", 429),  // rightful
		at(1, "b", 429),  // wrongful: 10 tokens have come
		at(10, "a", 200), // after the fault
		at(13, "a", 429), // wrongful and late
	}
	got := judge(results, orgs, "", 2, window{from: time.Second, fault: 10 * time.Second, filled: time.Minute})
	want := Refusals{Requests: 3, Wrongful: 2, StaticWrongful: 1, LateRequests: 1, LateWrongful: 1}
	if got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if got := judge(results, orgs, "", 2, window{filled: time.Minute}); got.StaticWrongful != 2 {
		t.Errorf("fixed shares refuse %d requests wrongly, want the second at a and the one at 1 s at b", got.StaticWrongful)
	}
	if got := judge(results, orgs, "moara-alba", 2, window{filled: time.Minute}); got.Requests != 0 {
		t.Errorf("requests of the organisation that exceeds its rate are counted: %+v", got)
	}
}

// Guards against a report that calls a missed target met.
func TestTargets(t *testing.T) {
	r := &Result{Options: Options{Scenario: Scenario{Name: "peak", Peak: true}}, Doubled: 1, Refusals: Refusals{Requests: 1000, Wrongful: 1}}
	var b strings.Builder
	if err := WriteTable(&b, []*Result{r}); err != nil {
		t.Fatal(err)
	}
	for _, line := range []string{"no booking twice: MISSED (1)", "under 0.1%: MISSED (0.10%)"} {
		if !strings.Contains(b.String(), line) {
			t.Errorf("report lacks %q:\n%s", line, b.String())
		}
	}
	r.Doubled, r.Refusals.Requests = 0, 1001
	for _, target := range r.targets(nil) {
		if !target.Met {
			t.Errorf("missed: %+v", target)
		}
	}
}

// Guards against goodput of a sender that is measured against all that it asked for.
func TestFairShareIsBoundedByTheRate(t *testing.T) {
	s := &load.Stream{Kind: load.Chat, Organisation: "moara-alba", OutputTokens: 10}
	results := []load.Result{{Stream: s, PromptTokens: 10, Whole: true}, {Stream: s, PromptTokens: 10}, {Stream: s, PromptTokens: 10}}
	orgs := []site.Organisation{{Name: "moara-alba", Rate: 2, Burst: 5}}
	if got := fairShares(results, orgs, 10*time.Second)["moara-alba"]; got != 20.0/25 {
		t.Errorf("got %v", got)
	}
}
