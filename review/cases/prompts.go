package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// parallelPrompts: requests with a prompt part that crashes runners come several at a time. BUDGET: no more than three of them reach
// runners later than contact_ms after the fifth crash.
func parallelPrompts(b *bed) error {
	const (
		part       = "9bad51e7"
		parallel   = 6
		period     = 8 * time.Second
		jobs       = 5
		lateAllows = 3
	)
	b.zones = map[string]string{"lima-a": "lima", "arequipa-a": "arequipa", "cusco-a": "cusco"}
	b.store.put("op/config", configuration(5_000_000, 5_000_000))
	for zone, runners := range map[string]int{"lima-a": 5, "arequipa-a": 4, "cusco-a": 3} {
		for i := range runners {
			n, err := b.startRunner(service, zone, time.Duration(i)*heartbeat/5)
			if err != nil {
				return err
			}
			if b.trouble {
				n.crashesOn = part
			}
		}
	}
	for _, zone := range []string{"lima-a", "lima-a", "arequipa-a", "cusco-a"} {
		if _, err := b.newMachine(fmt.Sprintf("front-%s-%d", zone, len(b.machines)+1), zone); err != nil {
			return err
		}
	}
	if err := b.startAll(); err != nil {
		return err
	}
	time.Sleep(8 * time.Second)
	var clients []*client
	for _, m := range b.machines {
		defer b.newClient("sound-"+m.name, m).load(10)()
		clients = append(clients, b.newClient("job-"+m.name, m))
	}
	time.Sleep(3 * time.Second)
	for job := range jobs {
		b.record.say("job %d: %d requests with part %s at the same time", job, parallel, part)
		var all sync.WaitGroup
		for i := range parallel {
			all.Go(func() { clients[(job+i)%len(clients)].send(part) })
		}
		time.Sleep(period)
		all.Wait()
	}
	b.mu.Lock()
	crashes := append([]time.Time(nil), b.crashes...)
	b.mu.Unlock()
	reached, late := 0, 0
	for _, a := range b.allArrivals() {
		if !strings.Contains(" "+a.parts, " "+part+" ") {
			continue
		}
		reached++
		if len(crashes) >= 5 && a.sent.After(crashes[4].Add(contact)) {
			late++
			b.record.say("%s, sent %.1f s after the fifth crash, reaches runner %s", a.id, a.sent.Sub(crashes[4]).Seconds(), a.runner)
		}
	}
	b.record.say("%d requests with the part reached runners, %d crashes", reached, len(crashes))
	b.record.say("answers by status: %v", b.answers)
	if late > lateAllows {
		return fmt.Errorf("%w: %d requests reached runners later than %s after the fifth crash, %d are allowed", errBroken, late, contact, lateAllows)
	}
	return nil
}
