package serving

import (
	"time"

	"dogwoodknot.example/dogwoodknot/internal/load"
	"dogwoodknot.example/dogwoodknot/internal/site"
)

// Shape of the work. Long requests carry a dossier, short ones a question; both share most of an organisation's prompt
// head, such as its instructions.
const (
	longPrompt  = 4000 // tokens, mean
	longOutput  = 120
	shortPrompt = 120
	shortOutput = 24
	longShared  = 0.3
	shortShared = 0.6
	// longPart is the part of the requests that are long.
	longPart = 0.1
	// bookingPart and lookupPart are calls of the plain service per model request.
	bookingPart = 0.1
	lookupPart  = 0.5
)

// Engine speeds of the experiments: a runner of the stand-in fleet.
const (
	prefillRate   = 16000.0 // tokens/s
	tokenInterval = 25 * time.Millisecond
	batchSlots    = 8
	depthSlowdown = 0.5
	cacheBlocks   = 600 // about nine dossiers
	loadLag       = 500 * time.Millisecond
	cacheDelay    = 300 * time.Millisecond
	cacheGap      = 0.05
)

// organisationParts are the organisations' parts of the traffic. The last but one is bound to a home, with the 12% that the
// target size has.
var organisationParts = []float64{0.36, 0.30, 0.15, 0.12, 0.07}

// regionParts are the regions' parts of the unbound traffic at the daily peak of the last region, which has the fewest runners.
var regionParts = []float64{0.45, 0.28, 0.27}

// rateUse is the part of its rate that an organisation offers.
const rateUse = 0.6

// burstSeconds is an organisation's burst in seconds of its rate, and minBurst the least one: several long requests.
const (
	burstSeconds = 4
	minBurst     = 8 * (longPrompt*1.5 + longOutput)
)

// secondsPerRequest is the time of a batch place that a request of the mix takes on an idle runner.
func secondsPerRequest() float64 {
	decode := tokenInterval.Seconds() * (1 + depthSlowdown/2)
	long := longPrompt*(1-longShared/2)/prefillRate*batchSlots + longOutput*decode
	short := shortPrompt/prefillRate*batchSlots + shortOutput*decode
	return longPart*long + (1-longPart)*short
}

// tokensPerRequest is the mean charge of a request of the mix.
func tokensPerRequest() float64 {
	return longPart*(longPrompt+longOutput) + (1-longPart)*(shortPrompt+shortOutput)
}

// prepare sets a deployment's engines and organisations to the experiment's work.
func prepare(o site.Options, sc Scenario, p Policy) site.Options {
	o.Chooser = p.Chooser
	o.Engine.PrefillRate = prefillRate
	o.Engine.TokenInterval = tokenInterval
	o.Engine.BatchSlots = batchSlots
	o.Engine.DepthSlowdown = depthSlowdown
	o.Engine.CacheBlocks = cacheBlocks
	o.Engine.LoadLag = loadLag
	o.Engine.CacheEventDelay = cacheDelay
	o.Engine.CacheEventGap = cacheGap
	o.Engine.OutputTokens = longOutput
	rate := requestRate(o, sc)
	for i := range o.Organisations {
		org := &o.Organisations[i]
		org.Rate = organisationParts[i] * rate * tokensPerRequest() / rateUse
		org.Burst = max(burstSeconds*org.Rate, minBurst)
	}
	return o
}

// requestRate returns the model requests per second of all organisations.
func requestRate(o site.Options, sc Scenario) float64 {
	places := 0
	for _, r := range o.Regions {
		places += r.Runners * batchSlots
	}
	return sc.Load * float64(places) / secondsPerRequest()
}

// workload returns the streams of all organisations and regions.
func workload(o site.Options, sc Scenario, keys map[string]string, seed uint64, d time.Duration) load.Workload {
	w := load.Workload{Seed: seed, Duration: d}
	rate := requestRate(o, sc)
	for i, org := range o.Organisations {
		part := organisationParts[i] * rate
		if i == 0 {
			part *= sc.Greedy
		}
		for j, region := range o.Regions {
			share := regionParts[j]
			if org.Home != "" {
				share = 0
				if org.Home == region.Name {
					share = 1
				}
			}
			w.Streams = append(w.Streams, streams(o, org.Name, keys[org.Name], region.Name, part*share)...)
		}
	}
	return w
}

func streams(o site.Options, organisation, key, region string, rate float64) []load.Stream {
	base := load.Stream{Organisation: organisation, Key: key, Region: region, Model: o.Model}
	long, short, booking, lookup := base, base, base, base
	long.Name, long.Kind, long.PerSecond = "long", load.Chat, rate*longPart
	long.PromptTokens, long.OutputTokens, long.SharedPrefix = longPrompt, longOutput, longShared
	short.Name, short.Kind, short.PerSecond = "short", load.Chat, rate*(1-longPart)
	short.PromptTokens, short.OutputTokens, short.SharedPrefix = shortPrompt, shortOutput, shortShared
	booking.Name, booking.Kind, booking.PerSecond, booking.Path = "booking", load.Booking, rate*bookingPart, "/bookings"
	lookup.Name, lookup.Kind, lookup.PerSecond, lookup.Path = "lookup", load.Lookup, rate*lookupPart, "/lookup/7"
	return []load.Stream{long, short, booking, lookup}
}
