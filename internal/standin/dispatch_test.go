package standin_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/configsync"
	"dogwoodknot.example/dogwoodknot/internal/core/fairqueue"
	"dogwoodknot.example/dogwoodknot/internal/dispatch"
	"dogwoodknot.example/dogwoodknot/internal/standin"
)

// fixedSource gives one view of a fixed configuration. The dispatcher asks for nothing but the general part.
type fixedSource struct{ general *config.Config }

func (s fixedSource) View() configsync.View                  { return fixedView{general: s.general} }
func (s fixedSource) Subscribe(func(configsync.View)) func() { return func() {} }

type fixedView struct {
	configsync.View
	general *config.Config
}

func (v fixedView) General() *config.Config { return v.general }

// overFleet starts a fleet and a dispatcher for its engines.
func overFleet(t *testing.T, opts standin.FleetOptions) (*standin.Fleet, *dispatch.Dispatcher) {
	t.Helper()
	f, err := standin.StartFleet(opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	general := &config.Config{}
	for _, a := range f.Addresses() {
		e := config.Endpoint{Name: a.Name, Addr: a.Addr, Region: "lima", DataCentre: "lima-a", Kind: config.KindEngine,
			Models: []string{"m"}}
		if strings.HasPrefix(a.Name, "engine") {
			general.Endpoints = append(general.Endpoints, e)
		}
	}
	d, err := dispatch.New(dispatch.Options{
		Region: "lima", DataCentre: "lima-a", Source: fixedSource{general: general}, Seed: 1,
		PollInterval: 20 * time.Millisecond, FirstTokenTimeout: 5 * time.Second, StallTimeout: time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	d.Start()
	t.Cleanup(d.Stop)
	return f, d
}

// eventText returns the output text of a stream's event.
func eventText(data []byte) (string, error) {
	var event struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(data, &event); err != nil || len(event.Choices) == 0 {
		return "", err
	}
	return event.Choices[0].Text, nil
}

// fleetCalls is the number of calls at once: about twice what the batches of fourEngines hold.
const fleetCalls = 60

func fourEngines() standin.FleetOptions {
	return standin.FleetOptions{Engines: 4, Engine: standin.EngineOptions{
		Models: []standin.EngineModel{{Name: "m", Version: "1"}}, TokenInterval: time.Millisecond, PrefillRate: 1e6,
		LoadLag: 20 * time.Millisecond, CacheEventDelay: 20 * time.Millisecond, CacheEventGap: 0.3,
	}}
}

// streamCalls runs the calls at once and returns how many got the whole stream. Each of them must get the whole output of
// its own prompt, or an error after a prefix of it.
func streamCalls(t *testing.T, d *dispatch.Dispatcher) int {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var whole atomic.Int64
	var wg sync.WaitGroup
	for i := range fleetCalls {
		wg.Go(func() {
			const tokens = 40
			prompt := fmt.Sprintf("%s %d", strings.Repeat("dossier ", 40), i)
			var got strings.Builder
			err := d.Stream(ctx, &dispatch.ModelCall{
				ID: fmt.Sprintf("call-%d", i), Organisation: "o", Weight: 1, Model: "m", Path: "/v1/completions",
				Body:         fmt.Appendf(nil, `{"model":"m","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, tokens),
				PromptTokens: int64(standin.PromptTokens(prompt)), MaxTokens: tokens,
				PrefixBlocks: standin.BlockHashes(prompt), Class: fairqueue.Short, Progress: &dispatch.Progress{SingleChoice: true},
			}, func(data []byte) error {
				text, err := eventText(data)
				got.WriteString(text)
				return err
			})
			want := standin.OutputText(prompt, 0, tokens)
			switch {
			case err == nil && got.String() == want:
				whole.Add(1)
			case err == nil || !strings.HasPrefix(want, got.String()):
				t.Errorf("call %d got %q and error %v, want %q", i, got.String(), err, want)
			}
		})
	}
	wg.Wait()
	t.Logf("%d of %d calls got the whole stream", whole.Load(), fleetCalls)
	return int(whole.Load())
}

// Guards against a protocol that dispatcher and engine understand differently when streams are cut, requests lost and an
// engine dies, all at once.
func TestStreamsAreWholeUnderFaults(t *testing.T) {
	f, d := overFleet(t, fourEngines())
	rng := rand.New(rand.NewPCG(7, 7))
	faults := []standin.StreamFault{{Kind: standin.StreamDie, RequestID: "call-31", AfterTokens: 5}}
	for i := 0; i < fleetCalls; i += 5 {
		kind := []standin.StreamFaultKind{standin.StreamTruncate, standin.StreamBreak}[rng.IntN(2)]
		faults = append(faults, standin.StreamFault{
			Kind: kind, RequestID: fmt.Sprintf("call-%d", i), AfterTokens: rng.IntN(30), Forget: rng.IntN(3) == 0,
		})
	}
	for _, e := range f.Engines {
		e.SetFaults(standin.EngineFaults{Streams: faults})
	}
	// How many calls fail is up to the retry budget. Without any success the test would show nothing.
	if streamCalls(t, d) == 0 {
		t.Error("no call got the whole stream")
	}
}

// Guards against a dead engine that takes the calls waiting for the full ones, because it fails each of them at once.
func TestDeadEngineTakesFewCalls(t *testing.T) {
	f, d := overFleet(t, fourEngines())
	for _, e := range f.Engines {
		e.SetFaults(standin.EngineFaults{Streams: []standin.StreamFault{
			{Kind: standin.StreamDie, RequestID: "call-31", AfterTokens: 5},
		}})
	}
	// The retry budget covers the eight calls in the dead engine's batch and the failures until it is ejected.
	if whole := streamCalls(t, d); whole < 50 {
		t.Errorf("the death of one engine of four left %d of %d calls with an answer", whole, fleetCalls)
	}
}
