package catalog

import "dogwoodknot.example/dogwoodknot/internal/clock"

// Incarnation identifies one start of an endpoint. A restarted endpoint may keep its ID, but has another start time.
type Incarnation struct {
	ID              string
	StartedAtMillis int64 // Unix time in milliseconds, as reported by the endpoint
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
