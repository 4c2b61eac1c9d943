package integration

import (
	"fmt"
	"net/http"
	"slices"
	"testing"

	"dogwoodknot.example/dogwoodknot/internal/operations"
)

// Guards against a deployment of processes that does not serve: a chat at every instance, and a booking.
func TestEveryInstanceServes(t *testing.T) {
	d := running(t)
	for _, i := range d.instances {
		prompt := "a weather vane for " + i.name
		s := d.chat(i, d.keys["general"], prompt, 8, nil)
		s.wantWhole(t, prompt, 8)
		if s.region != i.at.region {
			t.Errorf("%s: served in %q", i.name, s.region)
		}
		body := fmt.Sprintf(`{"deposit":%q}`, i.name)
		if a := d.book(i, "general", "", body); a.status != http.StatusOK || a.execution != "ran" {
			t.Errorf("%s: booking: %+v", i.name, a)
		}
		if n := d.executions(t, body); n != 1 {
			t.Errorf("%s: booking executed %d times", i.name, n)
		}
	}
}

// Point 10. Guards against a second execution of a booking whose owner is killed after the claim: repeats at every other
// instance, before and after the takeover, must not run it again, and must not say that it has not run.
func TestBookingOnceOwnerKilled(t *testing.T) {
	d := running(t)
	key, body := newKey(t), `{"deposit":"killed owner"}`
	d.awaitBookings(t, d.instance("cusco-1"), key)
	// The service executes after the owner has died.
	for _, s := range d.services {
		if err := d.post(s.url()+"/standin/v1/faults", `{"action":"drop_answer","path":"/bookings"}`); err != nil {
			t.Fatal(err)
		}
	}
	first := make(chan answer, 1)
	go func() { first <- d.book(d.instance("cusco-1"), "booker", key, body) }()
	if !poll(callWithin, func() bool { return d.executions(t, body) == 1 }) {
		select {
		case a := <-first:
			t.Fatalf("booking does not reach the service: %+v", a)
		default:
			t.Fatal("booking does not reach the service")
		}
	}
	owner := d.recordOwner(t, key)
	d.kill(owner.process)
	if err := d.dropFromList(owner); err != nil {
		t.Fatal(err)
	}
	if a := <-first; a.execution == "not-run" || a.status == http.StatusOK {
		t.Errorf("first request: %+v", a)
	}
	unknown := false
	resolved := poll(readyWithin, func() bool {
		for _, i := range d.instances {
			if !i.running() {
				continue
			}
			a := d.book(i, "booker", key, body)
			if a.execution == "ran" {
				t.Fatalf("%s: repeat after the owner's death: %+v", i.name, a)
			}
			unknown = unknown || a.execution == "unknown" && a.status == http.StatusConflict
		}
		return unknown
	})
	if !resolved {
		t.Error("no instance has taken over the records of the killed owner")
	}
	if n := d.executions(t, body); n != 1 {
		t.Errorf("booking executed %d times", n)
	}
}

// awaitBookings waits until the owner of a key's records takes bookings from an instance. An instance that has just got a slot
// starts with no tokens, and the log of a slot must be read before its first booking: until then bookings are refused "not run".
func (d *deployment) awaitBookings(t *testing.T, at *instance, key string) {
	t.Helper()
	var last answer
	taken := poll(readyWithin, func() bool {
		other := newKey(t)
		for operations.RecordSlot(regions[0].instances, "booker", other) != operations.RecordSlot(regions[0].instances, "booker", key) {
			other = newKey(t)
		}
		last = d.book(at, "booker", other, fmt.Sprintf(`{"await":%q}`, other))
		return last.execution == "ran"
	})
	if !taken {
		t.Fatalf("%s takes no bookings: %+v", at.name, last)
	}
}

// recordOwner returns the instance that owns the records of a key of the organisation booker.
func (d *deployment) recordOwner(t *testing.T, key string) *instance {
	t.Helper()
	slot := operations.RecordSlot(regions[0].instances, "booker", key)
	for _, i := range d.instances {
		s, err := d.status(i)
		if err == nil && i.at.region == regions[0].name && slices.Contains(s.Slots, slot) {
			return i
		}
	}
	t.Fatalf("slot %d of %s has no owner", slot, regions[0].name)
	return nil
}
