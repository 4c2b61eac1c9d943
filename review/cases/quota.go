package main

import (
	"fmt"
	"sort"
	"time"
)

// Rate of the tenant as in the example of the operator's document, and a burst of a quarter of a second.
const (
	tenantRate  = 632_133.0
	tenantBurst = 158_033.0
)

// quotaAllowed is the number of a tenant's tokens that may arrive in a window.
func quotaAllowed() float64 {
	return (tenantRate*quotaWindow.Seconds()+tenantBurst)*(1+quotaExcess) + quotaSlack
}

// mostInWindow returns the largest number of tokens that were sent and arrived inside one window of a span, and when that window begins.
func mostInWindow(arrivals []arrival, from, to time.Time) (most float64, at time.Time) {
	sort.Slice(arrivals, func(i, j int) bool { return arrivals[i].sent.Before(arrivals[j].sent) })
	for i, first := range arrivals {
		if first.sent.Before(from) || first.sent.After(to) {
			continue
		}
		sum, end := 0.0, first.sent.Add(quotaWindow)
		for _, a := range arrivals[i:] {
			if a.sent.After(end) {
				break
			}
			if a.at.Before(end) && a.at.Before(to) {
				sum += a.tokens
			}
		}
		if sum > most {
			most, at = sum, first.sent
		}
	}
	return most, at
}

// judgeQuota holds the requests that runners ran in a span against the tenant's rate.
func (b *bed) judgeQuota(from time.Time) error {
	most, at := mostInWindow(b.allArrivals(), from, time.Now())
	b.record.say("at most %.0f tokens of the tenant in %s, from %.1f s on; %.0f are allowed", most, quotaWindow,
		at.Sub(b.record.start).Seconds(), quotaAllowed())
	b.record.say("answers by status: %v", b.answers)
	if most > quotaAllowed() {
		return fmt.Errorf("%w: %.0f tokens in %s, %.0f are allowed", errBroken, most, quotaWindow, quotaAllowed())
	}
	return nil
}

// twoRegions starts a machine and runners in each of two regions. The runners of both can serve the whole rate.
func (b *bed) twoRegions() (one, other *machine, err error) {
	b.zones = map[string]string{"lima-a": "lima", "arequipa-a": "arequipa"}
	b.store.put(wire("configuration"), configuration(tenantRate, tenantBurst))
	for _, zone := range []string{"lima-a", "arequipa-a"} {
		for i := range 6 {
			if _, err := b.startRunner(service, zone, time.Duration(i)*heartbeat/6); err != nil {
				return nil, nil, err
			}
		}
	}
	if one, err = b.newMachine("front-lima-a-1", "lima-a"); err != nil {
		return nil, nil, err
	}
	other, err = b.newMachine("front-arequipa-a-1", "arequipa-a")
	return one, other, err
}

// Requests of the tenant a second at each machine: more than its rate allows.
const (
	loadOne   = 80.0
	loadOther = 130.0
)
