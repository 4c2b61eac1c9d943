package main

import (
	"fmt"
	"time"
)

const (
	coldPeriod = 3 * time.Second // cold_s
	coldRate   = 3.8             // requests a second that a cold runner takes
)

// evacuation: a zone is evacuated and taken back, and its runners are cold from then on. FAILBACK: a cold runner gets no more requests
// in one second than its cold rate x cold_excess + cold_slack.
func evacuation(b *bed) error {
	const (
		zone, rounds  = "lima-a", 7
		perMachine    = 30.0
		evacuatedFor  = 5 * time.Second
		betweenRounds = 6 * time.Second
	)
	b.zones = map[string]string{zone: "lima", "arequipa-a": "arequipa"}
	b.store.put(wire("configuration"), configuration(5_000_000, 5_000_000))
	var runners []*runner
	for i := range 5 {
		n, err := b.startRunner(service, zone, time.Duration(i)*heartbeat/5)
		if err != nil {
			return err
		}
		runners = append(runners, n)
	}
	for i := range 4 {
		if _, err := b.startRunner(service, "arequipa-a", time.Duration(i)*heartbeat/4); err != nil {
			return err
		}
	}
	for _, name := range []string{"front-lima-a-1", "front-lima-a-2"} {
		if _, err := b.newMachine(name, zone); err != nil {
			return err
		}
	}
	if _, err := b.newMachine("front-arequipa-a-1", "arequipa-a"); err != nil {
		return err
	}
	if err := b.startAll(); err != nil {
		return err
	}
	time.Sleep(8 * time.Second)
	for _, m := range b.machines[:2] {
		defer b.newClient("client-"+m.name, m).load(perMachine)()
	}
	time.Sleep(5 * time.Second)
	worst := 0
	for round := range rounds {
		if b.trouble {
			b.store.put(wire("evacuation")+zone, map[string]any{})
			b.record.say("round %d: %s is evacuated", round, zone)
		}
		time.Sleep(evacuatedFor)
		back := time.Now()
		if b.trouble {
			for _, n := range runners {
				n.becomeCold(coldPeriod)
			}
			b.store.remove(wire("evacuation") + zone)
			b.record.say("round %d: %s is taken back, its runners are cold for %s", round, zone, coldPeriod)
		}
		time.Sleep(betweenRounds)
		if !b.trouble {
			continue
		}
		arrivals := b.allArrivals()
		for _, n := range runners {
			most := mostInOneSecond(arrivals, n.name(), back, back.Add(coldPeriod))
			b.record.say("round %d: cold runner %s gets at most %d requests in one second", round, n.name(), most)
			worst = max(worst, most)
		}
	}
	b.record.say("answers by status: %v", b.answers)
	if allowed := coldRate*coldExcess + coldSlack; float64(worst) > allowed {
		return fmt.Errorf("%w: a cold runner got %d requests in one second, %.1f are allowed", errBroken, worst, allowed)
	}
	return nil
}

// mostInOneSecond returns the largest number of requests that were sent and arrived at a runner inside one second of a span.
func mostInOneSecond(arrivals []arrival, runner string, from, to time.Time) int {
	most := 0
	for _, first := range arrivals {
		if first.sent.Before(from) || first.sent.After(to) {
			continue
		}
		n, end := 0, first.sent.Add(time.Second)
		for _, a := range arrivals {
			if a.runner == runner && !a.sent.Before(first.sent) && a.at.Before(end) && a.at.Before(to) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
