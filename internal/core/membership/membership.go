// Package membership decides which instances are live, suspect, leaving or gone. It performs no I/O and reads no clock:
// the package internal/members passes in the time, lists, probe answers and reports, and carries out the returned
// actions.
//
// Each target is probed by a few instances of its data centre and region. They form its home scope. Each remote region
// probes the target less often, from one instance, and forms a scope of its own, so that a partition between two
// regions does not make a third one suspect instances. Within a scope, a suspicion is represented by a counter for the
// target's incarnation: an odd value means suspect. An instance that confirms a suspicion, or gets a direct answer that
// refutes one, increments the counter. The highest value wins, so that reports may arrive late, more than once and in
// any order.
//
// A suspicion only makes instances send requests elsewhere. Only the platform's list ends the membership of an
// instance.
package membership

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/platform"
)

// Row is an instance as the platform's list contains it.
type Row = platform.ListedInstance

// Ref identifies one process of an instance.
type Ref struct {
	Instance    string
	Incarnation uint64
}

// Status is this instance's assessment of an instance.
type Status int

// Statuses of an instance. The members of a snapshot do not include gone instances.
const (
	Gone Status = iota
	Live
	Suspect
	Leaving
)

// String returns the status's name.
func (s Status) String() string {
	return [...]string{"gone", "live", "suspect", "leaving"}[s]
}

// Params are the intervals and numbers of probes.
type Params struct {
	HomePeriod   time.Duration // between probes of a target by each prober of its home scope
	RemotePeriod time.Duration // between probes by the prober of a remote region
	// ScaleFrom is the number of instances above which both periods grow with the square root of the number. This
	// bounds the probe traffic of a target. The time to detect a failure grows little, because the first of several
	// probers detects it.
	ScaleFrom    int
	ProbeTimeout time.Duration // longer than the round trip between the regions that are farthest apart
	// FailuresBeforeIndirect is the number of consecutive failed probes after which other instances are asked to probe
	// the target.
	FailuresBeforeIndirect int
	// IndirectRetryAfter is the time after which other instances are asked again, if they have not confirmed the
	// suspicion.
	IndirectRetryAfter time.Duration
	// UnlistedTimeout is the time without contact after which a member that is not in the list is removed.
	UnlistedTimeout time.Duration

	DataCentreProbers int // probers of the home scope in the target's data centre
	RegionProbers     int // probers of the home scope in the rest of its region
	RemoteHelpers     int // instances of its own region that the prober of a remote region asks
	MaxRemoteTargets  int // targets in remote regions that one instance probes
}

// DefaultParams returns the values that the measurements in docs were made with.
func DefaultParams() Params {
	return Params{
		HomePeriod:             time.Second,
		RemotePeriod:           3 * time.Second,
		ScaleFrom:              50,
		ProbeTimeout:           600 * time.Millisecond,
		FailuresBeforeIndirect: 2,
		IndirectRetryAfter:     5 * time.Second,
		UnlistedTimeout:        time.Minute,
		DataCentreProbers:      3,
		RegionProbers:          2,
		RemoteHelpers:          3,
		MaxRemoteTargets:       64,
	}
}

// Validate returns all invalid parameters as one joined error.
func (p Params) Validate() error {
	var findings []error
	check := func(ok bool, text string) {
		if !ok {
			findings = append(findings, errors.New(text))
		}
	}
	check(p.HomePeriod > 0, "HomePeriod is not positive")
	check(p.RemotePeriod > 0, "RemotePeriod is not positive")
	check(p.ProbeTimeout > 0 && p.ProbeTimeout <= p.HomePeriod, "ProbeTimeout is not between 0 and HomePeriod")
	check(p.ScaleFrom > 0, "ScaleFrom is not positive")
	check(p.FailuresBeforeIndirect > 0, "FailuresBeforeIndirect is not positive")
	check(p.IndirectRetryAfter > 0, "IndirectRetryAfter is not positive")
	check(p.UnlistedTimeout > 0, "UnlistedTimeout is not positive")
	check(p.DataCentreProbers > 0, "DataCentreProbers is not positive")
	check(p.RegionProbers > 0, "RegionProbers is not positive")
	check(p.RemoteHelpers > 0, "RemoteHelpers is not positive")
	check(p.MaxRemoteTargets > 0, "MaxRemoteTargets is not positive")
	return errors.Join(findings...)
}

// Action is a task for the caller of Core: Probe, IndirectProbe or Publish.
type Action interface{ isAction() }

// Probe is a direct probe of the target. Its outcome is passed to Core.ProbeResult.
type Probe struct {
	Target Ref
	SentAt clock.Instant
}

// IndirectProbe asks other instances to probe the target. Each outcome is passed to Core.IndirectProbeResult.
type IndirectProbe struct {
	Target  Ref
	Helpers []string
}

// Publish sends reports to other instances. A recipient in another data centre forwards them to the instances of its
// own.
type Publish struct {
	Reports []Report
	Local   []string // in this instance's data centre
	Relays  []string // one instance in each other data centre that the reports concern
}

func (Probe) isAction()         {}
func (IndirectProbe) isAction() {}
func (Publish) isAction()       {}

// Report is the state of a target in one scope.
type Report struct {
	// Scope is the region whose scope the report describes. It is empty for the home scope, whose state all instances
	// share.
	Scope   string
	Target  Ref
	Counter uint32 // odd if the target is suspect
	// Overrules is the value of the home scope's counter that a region's scope disregards, because an instance of the
	// region got a direct answer. It is 0 in reports of the home scope.
	Overrules uint32
	Leaving   bool // home scope only
}

// Verdict is the outcome of an indirect probe.
type Verdict int

// Verdicts. Unreached means that the asked instance got no answer from the target.
const (
	Unknown Verdict = iota // the asked instance has not answered or does not know the target
	Reached
	Unreached
)

// member is an instance other than this one that is not gone.
type member struct {
	row           Row
	hash          uint64        // of its name, for rendezvous order
	lastContact   clock.Instant // members that the list does not contain are removed some time after it
	leaving       bool
	homeCounter   uint32 // counter of the home scope, odd if suspect
	regionCounter uint32 // counter of this region's scope, odd if suspect
	overruledHome uint32 // value of homeCounter that this region's scope disregards after a direct answer

	// Probes by this instance.
	role         role
	nextProbe    clock.Instant
	inFlight     bool             // a probe has not been answered yet
	failures     int              // consecutive failed probes
	nextIndirect clock.Instant    // earliest time of the next indirect probe
	pending      *pendingIndirect // nil if none is under way
	unreachable  bool             // by this instance; others may reach it, or none could be asked
	hasContact   bool
}

// pendingIndirect collects the verdicts of an indirect probe.
type pendingIndirect struct {
	waiting map[string]bool // names of the asked instances whose verdict is missing
	all     votes
	region  votes // verdicts from this instance's region
}

type votes struct{ reached, unreached int }

func (v *votes) add(verdict Verdict) {
	switch verdict {
	case Reached:
		v.reached++
	case Unreached:
		v.unreached++
	}
}

// confirms reports whether the votes confirm a suspicion: none has reached the target and at least one has not.
func (v votes) confirms() bool { return v.reached == 0 && v.unreached > 0 }

// Core is one instance's view of the membership, and decides what it probes and publishes. It is not safe for
// concurrent use.
type Core struct {
	self    Row
	params  Params
	random  *rand.Rand
	members map[string]*member // without this instance, by name

	listVersion int64       // of the current list
	listed      map[Ref]Row // rows of entry instances in the current list
	gone        map[Ref]bool
	goneOrder   []Ref         // in the order in which they ended
	superseded  map[Ref]int64 // incarnations that a newer process of the same name has replaced, with the version of the list at that time

	targets       []*member                // members that this instance probes, in order of their names
	nextExpiry    clock.Instant            // time of the next search for unlisted members to remove
	lastExpedited map[string]clock.Instant // when the probes of a region were last brought forward

	rolesOutdated bool   // roles must be assigned again
	generation    uint64 // number of changes of the view
}

// maxGone limits the incarnations that are remembered as gone: enough for over a month at 111 per day.
const maxGone = 4096

// New returns a core that knows only its own instance.
func New(self Row, params Params, random *rand.Rand) (*Core, error) {
	if err := params.Validate(); err != nil {
		return nil, err
	}
	if self.Name == "" || self.Incarnation == 0 {
		return nil, errors.New("own instance has no name or incarnation")
	}
	return &Core{
		self:          self,
		params:        params,
		random:        random,
		members:       map[string]*member{},
		listed:        map[Ref]Row{},
		gone:          map[Ref]bool{},
		superseded:    map[Ref]int64{},
		lastExpedited: map[string]clock.Instant{},
	}, nil
}

// markChanged records a change of the view that may also change which instances probe which.
func (c *Core) markChanged() {
	c.rolesOutdated = true
	c.generation++
}

// setUnreachable records whether this instance gets no answer from a member.
func (c *Core) setUnreachable(m *member, unreachable bool) {
	if m.unreachable != unreachable {
		m.unreachable = unreachable
		c.generation++
	}
}

// Generation returns the number of changes of the view. Snapshots of the same generation are equal.
func (c *Core) Generation() uint64 { return c.generation }

// SetLeaving marks this instance as leaving.
func (c *Core) SetLeaving() {
	c.self.State = platform.StateLeaving
	c.markChanged()
}

func refOf(r Row) Ref { return Ref{Instance: r.Name, Incarnation: r.Incarnation} }

func (m *member) ref() Ref { return refOf(m.row) }

// suspect reports whether the scope of this instance's region suspects the member.
func (m *member) suspect(ownRegion string) bool {
	if m.row.Region == ownRegion {
		return odd(m.homeCounter)
	}
	return odd(m.regionCounter) || (odd(m.homeCounter) && m.overruledHome < m.homeCounter)
}

func odd(counter uint32) bool { return counter%2 == 1 }

// usable reports whether the member may probe, forward messages and fetch the list for others.
func (c *Core) usable(m *member) bool {
	return !m.leaving && !m.suspect(c.self.Region)
}
