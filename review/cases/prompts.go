package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// crashPart is the prompt part that crashes runners.
	crashPart = "9bad51e7"
	// lateAllowed is the number of requests with the part that may reach runners later than contact_ms after the fifth crash.
	lateAllowed = 3
)

// startSheet starts the machines and runners of the sheet, with runners that crash on crashPart, and sound traffic at each machine. It
// returns a client for each machine.
func (b *bed) startSheet() (clients []*client, stop func(), err error) {
	b.zones = map[string]string{"lima-a": "lima", "arequipa-a": "arequipa", "cusco-a": "cusco"}
	b.store.put(wire("configuration"), configuration(5_000_000, 5_000_000))
	for zone, runners := range map[string]int{"lima-a": 5, "arequipa-a": 4, "cusco-a": 3} {
		for i := range runners {
			n, err := b.startRunner(service, zone, time.Duration(i)*heartbeat/5)
			if err != nil {
				return nil, nil, err
			}
			if b.trouble {
				n.crashesOn = crashPart
			}
		}
	}
	for _, zone := range []string{"lima-a", "lima-a", "arequipa-a", "cusco-a"} {
		if _, err := b.newMachine(fmt.Sprintf("front-%s-%d", zone, len(b.machines)+1), zone); err != nil {
			return nil, nil, err
		}
	}
	if err := b.startAll(); err != nil {
		return nil, nil, err
	}
	time.Sleep(8 * time.Second)
	var stops []func()
	for _, m := range b.machines {
		stops = append(stops, b.newClient("sound-"+m.name, m).load(10))
		clients = append(clients, b.newClient("job-"+m.name, m))
	}
	time.Sleep(3 * time.Second)
	return clients, func() {
		for _, stop := range stops {
			stop()
		}
	}, nil
}

// judgeCrashes counts the requests with crashPart that reached runners too late.
func (b *bed) judgeCrashes() error {
	b.mu.Lock()
	crashes := append([]time.Time(nil), b.crashes...)
	b.mu.Unlock()
	reached, late := 0, 0
	for _, a := range b.allArrivals() {
		if !strings.Contains(" "+a.parts, " "+crashPart+" ") {
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
	if late > lateAllowed {
		return fmt.Errorf("%w: %d requests reached runners later than %s after the fifth crash, %d are allowed", errBroken, late, contact, lateAllowed)
	}
	return nil
}

// parallelPrompts: requests with a prompt part that crashes runners come several at a time. BUDGET.
func parallelPrompts(b *bed) error {
	const (
		parallel = 6
		period   = 8 * time.Second
		jobs     = 5
	)
	clients, stop, err := b.startSheet()
	if err != nil {
		return err
	}
	defer stop()
	for job := range jobs {
		b.record.say("job %d: %d requests with part %s at the same time", job, parallel, crashPart)
		var all sync.WaitGroup
		for i := range parallel {
			all.Go(func() { clients[(job+i)%len(clients)].send(crashPart) })
		}
		time.Sleep(period)
		all.Wait()
	}
	return b.judgeCrashes()
}

// manyParts: prompts that hold the part that crashes runners behind more parts than the machines read. BUDGET.
func manyParts(b *bed) error {
	const (
		before   = 66
		period   = 3 * time.Second
		requests = 16
	)
	clients, stop, err := b.startSheet()
	if err != nil {
		return err
	}
	defer stop()
	for n := range requests {
		var parts []string
		for i := range before {
			parts = append(parts, fmt.Sprintf("%x%04x%04x", time.Now().Unix(), n, i))
		}
		b.record.say("request %d with part %s behind %d others", n, crashPart, before)
		status := clients[n%len(clients)].send(append(parts, crashPart)...)
		b.record.say("request %d is answered with %d", n, status)
		time.Sleep(period)
	}
	return b.judgeCrashes()
}

// restarts: requests with the part that crashes runners come one at a time, seldom, and all machines are killed at once now and then.
// BUDGET.
func restarts(b *bed) error {
	const (
		period   = 7 * time.Second
		requests = 10
	)
	clients, stop, err := b.startSheet()
	if err != nil {
		return err
	}
	defer stop()
	b.mu.Lock()
	for _, n := range b.runners {
		n.crashesOn = crashPart // also without the disruption, which are the kills here
	}
	b.mu.Unlock()
	for n := range requests {
		if b.trouble && (n == 3 || n == 6) {
			b.record.say("all machines are killed")
			for _, m := range b.machines {
				m.signal(syscall.SIGKILL)
			}
			for _, m := range b.machines {
				<-m.ended
			}
			time.Sleep(500 * time.Millisecond)
			for _, m := range b.machines {
				if err := m.start(false); err != nil {
					return err
				}
			}
		}
		time.Sleep(period)
		b.record.say("request %d with part %s", n, crashPart)
		b.record.say("request %d is answered with %d", n, clients[n%len(clients)].send(crashPart))
	}
	return b.judgeCrashes()
}
