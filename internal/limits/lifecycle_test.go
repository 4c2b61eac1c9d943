package limits

import (
	"context"
	"testing"
	"time"

	"go.uber.org/goleak"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/platform/memory"
)

// Running services find their slots by themselves, serve from several goroutines, and leave no goroutine behind when they stop.
func TestStartAndStop(t *testing.T) {
	defer goleak.VerifyNone(t)
	f := newFleet(t, view(1, []config.Region{{Name: "lima", Slots: 2}}, acme(1e6, 1e7)))
	store := memory.NewStore(memory.StoreOptions{Clock: clock.Boot{}})
	var services []*Service
	for i, name := range []string{"lima-1", "lima-2"} {
		id := peer.Identity{Instance: name, Region: "lima", Incarnation: uint64(i + 1)}
		f.ids[name] = id
		f.list.add(id)
	}
	for _, name := range []string{"lima-1", "lima-2"} {
		s, err := New(Options{
			Network: f.net.join(f.ids[name]), Store: store, Clock: clock.Boot{}, Config: f.source, Peers: peersOf{f, name},
			RenewBase: 50 * time.Millisecond, Term: 500 * time.Millisecond,
		})
		if err != nil {
			t.Fatal(err)
		}
		services = append(services, s)
	}
	for _, s := range services {
		if err := s.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	deadline := time.Now().Add(10 * time.Second)
	for served := 0; served < 2; {
		served = 0
		for _, s := range services {
			if charge, err := s.Admit(context.Background(), "acme", 100); err == nil {
				s.Settle(charge, 50)
				served++
			}
		}
		if time.Now().After(deadline) {
			t.Fatal("services do not serve")
		}
		time.Sleep(10 * time.Millisecond)
	}
	for _, s := range services {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		if err := s.Stop(ctx); err != nil {
			t.Error(err)
		}
		cancel()
		if err := s.Stop(context.Background()); err != nil {
			t.Errorf("second stop: %v", err)
		}
	}
	if n := len(services[0].Owned()) + len(services[1].Owned()); n != 0 {
		t.Fatalf("stopped services own %d slots", n)
	}
}

// Options that miss what a service needs are reported together.
func TestOptionsAreChecked(t *testing.T) {
	_, err := New(Options{Term: -time.Second})
	if err == nil {
		t.Fatal("empty options were accepted")
	}
	for _, name := range []string{"Network", "Store", "Clock", "Config", "Peers", "Term"} {
		if !containsText(err, name) {
			t.Errorf("option %s is not named in: %v", name, err)
		}
	}
}
