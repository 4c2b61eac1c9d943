package endpointrate

import (
	"maps"
	"math"
	"slices"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/rendezvous"
	"dogwoodknot.example/dogwoodknot/internal/core/saturate"
)

// MaxRate is the highest rate, in requests per second, that an endpoint can name. A higher one means the same: it binds nobody.
const MaxRate = 1e9

const (
	// handOverTime is how long an instance must have been a sender in the view of the members before it sends. By then the instance
	// that it takes over from has learned of the change too, also if it reads the store through another one.
	handOverTime = 3 * time.Second
	// maxPause is the time between two calls of the Pacer after which it counts as having been paused: its view may be outdated.
	maxPause = time.Second
	// maxMemberSets bounds the sets of members that are kept. After more changes than that within handOverTime, the Pacer waits until
	// they end.
	maxMemberSets = 16
	// minSenders is the number of instances that send requests to an endpoint with the lowest limit. A second one keeps a part of the
	// rate in use when the first has gone.
	minSenders = 2
	// ratePerSender is the part of a limit, in requests per second, for which one more instance sends.
	ratePerSender = 4.0
	// maxSenders bounds the number of senders of an endpoint. No region has as many instances.
	maxSenders = 1 << 16
	// maxSenderInfos bounds the cache of chosen senders, to some counts for each endpoint of a large region.
	maxSenderInfos = 4096
	// minRate is the rate per second at which an endpoint is asked at least: only answers show that a limit has ended.
	minRate = 0.25
)

// Pacer limits what one instance sends to an endpoint that accepts only a rate from all instances of the region together. All
// instances choose the same few senders for an endpoint, by a hash of its id; each sends its equal share at regular intervals. An
// instance that has joined, was paused or takes over waits for handOverTime first, so that senders before and after a change don't add
// up.
type Pacer struct {
	self       string
	sets       []memberSet // in force during the last handOverTime, the current one last
	knownSince clock.Instant
	lastCall   clock.Instant
	lastSent   map[string]clock.Instant // by endpoint
	senders    map[senderKey]senderInfo // for sets
}

// memberSet is the set of instances of the region, as known until a moment.
type memberSet struct {
	names []string
	until clock.Instant // 0: it is current
}

type senderKey struct {
	endpoint string
	count    int
}

// senderInfo says whether this instance is a sender in all sets, and how many the current set has.
type senderInfo struct {
	isSender bool
	count    int
}

// NewPacer returns the pacer of an instance that knows no members yet, so that it sends nothing to such endpoints.
func NewPacer(self string) *Pacer {
	return &Pacer{self: self, lastSent: make(map[string]clock.Instant), senders: make(map[senderKey]senderInfo)}
}

// SetMembers replaces the instances of the region that may be senders. This instance is one of them only if the others see it as a
// member too.
func (p *Pacer) SetMembers(now clock.Instant, names []string) {
	p.Tick(now)
	names = slices.Sorted(slices.Values(names))
	if n := len(p.sets); n > 0 {
		if slices.Equal(p.sets[n-1].names, names) {
			return
		}
		p.sets[n-1].until = now
	} else {
		p.knownSince = now
	}
	p.sets = append(p.sets, memberSet{names: names})
	if len(p.sets) > maxMemberSets {
		p.restart(now)
	}
	clear(p.senders)
}

// restart forgets the sets before the current one and waits as after a start.
func (p *Pacer) restart(now clock.Instant) {
	if n := len(p.sets); n > 0 {
		p.sets = p.sets[n-1:]
		p.knownSince = now
	}
	clear(p.senders)
}

// Tick must be called regularly, several times within maxPause, so that a pause of the process is noticed.
func (p *Pacer) Tick(now clock.Instant) {
	if now.Sub(p.lastCall) > maxPause {
		p.restart(now)
	}
	p.lastCall = now
	expired := 0
	for expired < len(p.sets) && p.sets[expired].until != 0 && now.Sub(p.sets[expired].until) > handOverTime {
		expired++
	}
	if expired > 0 {
		p.sets = p.sets[expired:]
		clear(p.senders)
	}
}

// MaySend reports whether this instance may send a request now to an endpoint that accepts a number of requests per second from all
// instances.
func (p *Pacer) MaySend(now clock.Instant, endpoint string, perSecond float64) bool {
	p.Tick(now)
	if len(p.sets) == 0 || now.Sub(p.knownSince) < handOverTime {
		return false
	}
	rate := p.share(endpoint, perSecond)
	if rate == 0 {
		return false
	}
	last, sent := p.lastSent[endpoint]
	return !sent || now.Sub(last).Seconds() >= 1/rate
}

// share returns the number of requests per second that this instance may send; 0 if it is not a sender.
func (p *Pacer) share(endpoint string, perSecond float64) float64 {
	perSecond = saturate.Finite(perSecond, minRate, MaxRate)
	key := senderKey{endpoint, saturate.Int(minSenders+math.Floor(perSecond/ratePerSender), minSenders, maxSenders)}
	info, known := p.senders[key]
	if !known {
		info = p.findSenders(key)
		p.senders[key] = info
	}
	if !info.isSender {
		return 0
	}
	return perSecond / float64(info.count)
}

func (p *Pacer) findSenders(key senderKey) senderInfo {
	info := senderInfo{isSender: true}
	for _, set := range p.sets {
		senders := rendezvous.Top(key.endpoint, set.names, key.count)
		info.isSender = info.isSender && slices.Contains(senders, p.self)
		info.count = len(senders)
	}
	return info
}

// RecordSent records that a request is sent to an endpoint that accepts only a rate.
func (p *Pacer) RecordSent(now clock.Instant, endpoint string) { p.lastSent[endpoint] = now }

// Prune forgets endpoints to which nothing has been sent for a while.
func (p *Pacer) Prune(now clock.Instant) {
	maps.DeleteFunc(p.lastSent, func(_ string, at clock.Instant) bool { return now.Sub(at) > unlistedTTL })
	if len(p.senders) > maxSenderInfos {
		clear(p.senders)
	}
}
