package fleetview

import (
	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/endpointnotice"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// Notices returns what the region's endpoints have asked of instances, as far as it concerns all of them.
func (n *Node) Notices(now clock.Instant) []endpointnotice.Advice { return n.notices.Advice(now) }

// PruneNotices drops the notices of incarnations that have not been listed for a while.
func (n *Node) PruneNotices(now clock.Instant, listed func(catalog.Incarnation) bool) {
	n.notices.Prune(now, listed)
}

// noticeChanges returns the advice that was not sent before, and records all as sent. What is left out of it binds no longer at the
// sender only: receivers drop their own.
func (t *sentState) noticeChanges(advice []endpointnotice.Advice) (changed []*wire.EdgeEndpointNotice) {
	next := make(map[endpointnotice.Advice]bool, len(advice))
	for _, a := range advice {
		next[a] = true
		if !t.notices[a] {
			changed = append(changed, &wire.EdgeEndpointNotice{Id: a.Endpoint.ID, StartedMillis: a.Endpoint.StartedAtMillis, Leaving: a.Leaving})
		}
	}
	t.notices = next
	return changed
}

// mergeNotices records the notices of a message.
func (n *Node) mergeNotices(now clock.Instant, notices []*wire.EdgeEndpointNotice) error {
	for _, a := range notices {
		n.notices.Merge(now, endpointnotice.Advice{
			Endpoint: catalog.Incarnation{ID: a.GetId(), StartedAtMillis: a.GetStartedMillis()}, Leaving: a.GetLeaving(),
		})
	}
	if n.notices.Len() > maxEndpoints {
		return ErrTooLarge
	}
	return nil
}
