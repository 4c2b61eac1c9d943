// Package membership decides which instances are live, suspect, leaving or gone. It is pure: the adapter
// internal/members passes in the time, lists, answers and reports, and carries out the returned actions.
//
// Each target is probed by a few instances of its data centre and region, which form its home scope. Each other
// region probes it less often from one instance, and forms a scope of its own: a partition between two regions
// must not make a third one suspect anybody. A suspicion is held within a scope by a counter for the target's
// incarnation: odd means suspect. Whoever confirms a suspicion or gets a direct answer raises it by one, and
// the highest counter wins, so that reports may arrive late, twice and in any order.
//
// Suspicion only steers requests away. Only the platform's list ends an instance.
package membership

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/platform"
)

// Row is an instance as the platform lists it.
type Row = platform.ListedInstance

// Ref names one process of an instance.
type Ref struct {
	Instance    string
	Incarnation uint64
}

// Status is what is known of an instance.
type Status int

// States of an instance. A gone instance is in no snapshot's members.
const (
	Gone Status = iota
	Live
	Suspect
	Leaving
)

// String returns the state's name.
func (s Status) String() string {
	return [...]string{"gone", "live", "suspect", "leaving"}[s]
}

// Params are the periods and numbers of probes.
type Params struct {
	HomePeriod    time.Duration // between probes of a target by each prober of its home scope
	RemotePeriod time.Duration // between probes by the prober of another region
	// ScaleFrom is the number of instances from which both periods grow with the square root of their number. The
	// traffic of a target's probers stays in the limit, and as the first of them notices, the detection time grows little.
	ScaleFrom    int
	ProbeTimeout time.Duration // above the round trip between the farthest regions
	// FailuresBeforeIndirect is the number of failed probes in a row after which other instances are asked.
	FailuresBeforeIndirect int
	// IndirectRetryAfter is the wait before a suspicion that others have not confirmed is raised again.
	IndirectRetryAfter time.Duration
	// UnlistedTimeout is how long an instance that is known by contact only stays without one.
	UnlistedTimeout time.Duration

	DataCentreProbers int // of the home scope, from the target's data centre
	RegionProbers     int // of the home scope, from the rest of its region
	RemoteHelpers    int // instances that the prober of another region asks
	MaxRemoteTargets int // targets in other regions that one instance probes
}

// DefaultParams returns the values that the measurements in docs are made with.
func DefaultParams() Params {
	return Params{
		HomePeriod:        time.Second,
		RemotePeriod:     3 * time.Second,
		ScaleFrom:         50,
		ProbeTimeout:      600 * time.Millisecond,
		FailuresBeforeIndirect:     2,
		IndirectRetryAfter:        5 * time.Second,
		UnlistedTimeout:       time.Minute,
		DataCentreProbers: 3,
		RegionProbers:     2,
		RemoteHelpers:    3,
		MaxRemoteTargets: 64,
	}
}

// Validate returns all findings joined.
func (p Params) Validate() error {
	var findings []error
	check := func(ok bool, text string) {
		if !ok {
			findings = append(findings, errors.New(text))
		}
	}
	check(p.HomePeriod > 0, "HomePeriod is not positive")
	check(p.RemotePeriod > 0, "ForeignPeriod is not positive")
	check(p.ProbeTimeout > 0 && p.ProbeTimeout <= p.HomePeriod, "ProbeTimeout is not between 0 and HomePeriod")
	check(p.ScaleFrom > 0, "ScaleFrom is not positive")
	check(p.FailuresBeforeIndirect > 0, "FailuresToAsk is not positive")
	check(p.IndirectRetryAfter > 0, "ReaskAfter is not positive")
	check(p.UnlistedTimeout > 0, "UnlistedFor is not positive")
	check(p.DataCentreProbers > 0, "DataCentreProbers is not positive")
	check(p.RegionProbers > 0, "RegionProbers is not positive")
	check(p.RemoteHelpers > 0, "ForeignHelpers is not positive")
	check(p.MaxRemoteTargets > 0, "MaxForeignTargets is not positive")
	return errors.Join(findings...)
}

// Action is a task for the adapter: Probe, Ask or Publish.
type Action interface{ isAction() }

// Probe asks for a direct probe, whose outcome goes to Core.ProbeResult.
type Probe struct {
	Target Ref
	SentAt clock.Instant
}

// IndirectProbe asks other instances whether they reach the target. Each outcome goes to Core.IndirectProbeResult.
type IndirectProbe struct {
	Target Ref
	Helpers  []string
}

// Publish sends reports. A peer of another data centre relays them to its own.
type Publish struct {
	Reports []Report
	Local   []string // in the own data centre
	Relays  []string // one in each other data centre that the reports concern
}

func (Probe) isAction()   {}
func (IndirectProbe) isAction()     {}
func (Publish) isAction() {}

// Report is what one scope knows of a target.
type Report struct {
	// Scope is the region whose view this is. It is empty for the home scope, which all instances share.
	Scope   string
	Target  Ref
	Counter uint32 // odd: suspect
	// Overrules is the home counter that the scope has overruled by a direct answer. Not in the home scope.
	Overrules uint32
	Leaving   bool // home scope only
}

// Verdict is the answer of an instance that was asked about a target.
type Verdict int

// Verdicts.
const (
	Unknown Verdict = iota // no answer, or the instance does not know the target
	Reached
	Unreached
)

// member is an instance that is not gone.
type member struct {
	row      Row
	hash     uint64
	contact  clock.Instant // last direct sign, for an instance that the list does not show yet
	leaving  bool
	home     uint32
	own      uint32
	overrule uint32

	// Probes by this instance.
	role       role
	nextProbe  clock.Instant
	inFlight   bool
	failures   int
	answered   bool // answer is set
	answer     clock.Instant
	nextAsk    clock.Instant
	ask        *openAsk
	unreached  bool // by this instance, although others reach it or none could be asked
	hasContact bool
}

// openAsk collects the verdicts about a member.
type openAsk struct {
	waiting   map[string]bool
	all       votes
	ownRegion votes
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

func (v votes) confirms() bool { return v.reached == 0 && v.unreached > 0 }

// Core holds the view of one instance. It is not safe for concurrent use.
type Core struct {
	self    Row
	params  Params
	random  *rand.Rand
	members map[string]*member // without the own instance

	version    int64
	listed     map[Ref]Row // rows of entry instances in the list in force
	gone       map[Ref]bool
	goneOrder  []Ref
	superseded map[Ref]int64 // replaced by a newer process of that name; value: list version at that time

	targets    []*member                // that this instance probes, in order of their names
	nextExpiry clock.Instant            // of unlisted members
	hurried    map[string]clock.Instant // when the probes of a region were last brought forward

	changed    bool   // the sets of probers are out of date
	generation uint64 // counts the changes of the view
}

// maxGone bounds the incarnations that are remembered as gone: over a month at 111 a day.
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
		self:       self,
		params:     params,
		random:     random,
		members:    map[string]*member{},
		listed:     map[Ref]Row{},
		gone:       map[Ref]bool{},
		superseded: map[Ref]int64{},
		hurried:    map[string]clock.Instant{},
	}, nil
}

// touch notes a change of the view that may also change who probes whom.
func (c *Core) touch() {
	c.changed = true
	c.generation++
}

// setUnreached notes whether this instance alone gets no answer.
func (c *Core) setUnreached(m *member, unreached bool) {
	if m.unreached != unreached {
		m.unreached = unreached
		c.generation++
	}
}

// Generation counts the changes of the view. Snapshots of the same generation are equal.
func (c *Core) Generation() uint64 { return c.generation }

// SetLeaving marks the own instance as leaving.
func (c *Core) SetLeaving() {
	c.self.State = platform.StateLeaving
	c.touch()
}

func refOf(r Row) Ref { return Ref{Instance: r.Name, Incarnation: r.Incarnation} }

func (m *member) ref() Ref { return refOf(m.row) }

// suspect reports whether this instance's scope holds the member for suspect.
func (m *member) suspect(ownRegion string) bool {
	if m.row.Region == ownRegion {
		return odd(m.home)
	}
	return odd(m.own) || (odd(m.home) && m.overrule < m.home)
}

func odd(counter uint32) bool { return counter%2 == 1 }

// usable reports whether the member may probe, relay and poll for others.
func (c *Core) usable(m *member) bool {
	return !m.leaving && !m.suspect(c.self.Region)
}
