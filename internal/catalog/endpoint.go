package catalog

import "dogwoodknot.example/dogwoodknot/internal/clock"

// Incarnation identifies one start of an endpoint. A restarted endpoint may keep its ID, but has another start time.
type Incarnation struct {
	ID              string
	StartedAtMillis int64 // Unix time in milliseconds, as reported by the endpoint
}

// maxStartedAtMillis bounds the start of an endpoint: the year 2100, in Unix milliseconds. Of the endpoints at an address, and of the
// incarnations of an endpoint, the one that was started last counts, so that an absurd start would hide the others.
const maxStartedAtMillis = 4_102_444_800_000

// Valid reports whether the start is one that an endpoint can have.
func (i Incarnation) Valid() bool {
	return i.StartedAtMillis >= 0 && i.StartedAtMillis <= maxStartedAtMillis
}

// Endpoint is a process that runs requests of a service, as it describes itself.
type Endpoint struct {
	Incarnation
	Service    string
	Addr       string // ip:port
	DataCentre string
	Slots      int
	Draining   bool          // takes no new requests
	ColdUntil  clock.Instant // 0: it is not cold
}
