package edge

import (
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/core/rendezvous"
)

const (
	// minHeadInstances is the number of instances of a region from which on each of its data centres has a head. With fewer, the digests
	// that would cross between data centres less often are few, and the second level costs time.
	minHeadInstances = 8
	// maxHeadChildren is the number of instances of a data centre up to which all of them report to its head. With more, the head sends more
	// than the link of a small instance carries: 1,800 kB a second with 50 in the profile of internal/core/fleetview.
	maxHeadChildren = 24
	// tickMaxGroups is the longest interval of messages in a region with groups. On the mean, a load is sent to all after two and a half
	// intervals: 160 ms.
	tickMaxGroups = 64 * time.Millisecond
	// messagesVersion is the version of the messages between instances that this release understands. Version 1 passes on the usage of
	// instances below a head by report.
	messagesVersion = 1
)

// regionShape is what decides how the instances of a region report.
type regionShape struct {
	instances int            // all, with this one
	byCentre  map[string]int // by data centre
	heads     bool           // each data centre has a head
}

// shape returns the shape of this instance's region. The caller holds mu.
func (f *fleet) shape() regionShape {
	self := f.options.Self
	s := regionShape{instances: 1, byCentre: map[string]int{self.DataCentre: 1}}
	understood := true
	for _, m := range f.members {
		if m.Region == self.Region {
			s.instances++
			s.byCentre[m.DataCentre]++
			understood = understood && m.Messages >= 1
		}
	}
	s.heads = s.instances >= minHeadInstances && len(s.byCentre) >= 2 && understood
	return s
}

// largestCentre returns the number of instances of the region's largest data centre.
func (s regionShape) largestCentre() int {
	largest := 0
	for _, n := range s.byCentre {
		largest = max(largest, n)
	}
	return largest
}

// interval returns the time between messages within the region. All instances of the region use the same, so that all levels of the tree
// have it.
func (s regionShape) interval() time.Duration {
	reporters, longest := s.instances, tickMax
	if s.heads {
		reporters = s.largestCentre() + len(s.byCentre) - 1
		if s.largestCentre() > maxHeadChildren {
			longest = tickMaxGroups
		}
	}
	return min(max(time.Duration(reporters)*tickPerInstance, tickMin), longest)
}

// regionShape returns the shape of this instance's region.
func (f *fleet) regionShape() regionShape {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.shape()
}

// parent returns the instance that this one should report to, and false if this one is the root of its region. The root is the
// highest-ranked instance. If the region has heads, the highest-ranked instance of each data centre reports to the root, and the others of
// the data centre to that one, or through the head of a group if they are many. A parent always ranks above those that report to it, so
// that no instance reports to one whose path to the root passes through it.
func (f *fleet) parent() (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	centre := f.options.Self.DataCentre
	if s := f.shape(); s.heads && s.byCentre[centre] > maxHeadChildren {
		if name, ok := f.groupHead(centre); ok {
			return name, true
		}
	}
	return f.headOrRoot()
}

// storeParent returns the instance above this one through which it reads the store: the head of its data centre or the root.
func (f *fleet) storeParent() (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.headOrRoot()
}

// headOrRoot returns the head of this data centre, or the root if this instance is the head or there is none, and false if it is the root.
// The caller holds mu.
func (f *fleet) headOrRoot() (string, bool) {
	if f.shape().heads {
		if m := f.above(f.options.Self.DataCentre); m != nil {
			return m.name, true
		}
	}
	if m := f.above(anyDataCentre); m != nil {
		return m.name, true
	}
	return "", false
}

// groupHead returns the instance that heads this one's group in a data centre with many instances, and false if this one heads a group or
// the data centre. The groups are headed by the instances that rank below the head; the others choose one of them by a hash, so that
// the groups are of about the same size. The caller holds mu.
func (f *fleet) groupHead(dataCentre string) (string, bool) {
	self := f.options.Self
	above := []*member{}
	count := 1
	for _, m := range f.members {
		if m.DataCentre != dataCentre || !f.eligible(m, self.Region) {
			continue
		}
		count++
		if ranksAbove(m.name, m.LinkMbps, self.Instance, f.options.LinkMbps) {
			above = append(above, m)
		}
	}
	groups := int(math.Ceil(math.Sqrt(float64(count))))
	if len(above) <= groups {
		return "", false // this instance is the head or heads a group
	}
	slices.SortFunc(above, func(a, b *member) int {
		if ranksAbove(a.name, a.LinkMbps, b.name, b.LinkMbps) {
			return -1
		}
		return 1
	})
	names := make([]string, 0, groups)
	for _, m := range above[1 : groups+1] {
		names = append(names, m.name)
	}
	return rendezvous.First(self.Instance, names), true
}

// above returns the highest-ranked instance of a data centre of this region, nil if this instance ranks higher. The caller holds mu.
func (f *fleet) above(dataCentre string) *member {
	self := f.options.Self
	m := f.highestRanked(self.Region, dataCentre)
	if m == nil || !ranksAbove(m.name, m.LinkMbps, self.Instance, f.options.LinkMbps) {
		return nil
	}
	return m
}

// Roles of an instance in the tree of its region, also the values of the gauge.
const (
	roleMember = iota
	roleHead   // others report to it, and it reports to an instance above
	roleRoot
)

var roleNames = map[int]string{roleMember: "member", roleHead: "head", roleRoot: "root"}

// recordRole logs and measures the role of this instance in the tree of its region.
func (v *view) recordRole() {
	v.mu.Lock()
	children, parent, before := v.node.Children(), v.node.Parent(), v.role
	role := roleMember
	switch {
	case parent == "":
		role = roleRoot
	case children > 0:
		role = roleHead
	}
	v.role = role
	v.mu.Unlock()
	v.edge.metrics.role(role, children)
	if role != before {
		v.edge.log.Info("role in the region has changed", zap.String("role", roleNames[role]), zap.String("before", roleNames[before]),
			zap.String("parent", parent), zap.Int("children", children), zap.String("data_centre", v.edge.options.Self.DataCentre))
	}
}
