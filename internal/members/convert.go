package members

import (
	"dogwoodknot.example/dogwoodknot/internal/core/membership"
	"dogwoodknot.example/dogwoodknot/internal/platform"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// EncodeRow converts a row of the instance list to its wire message.
func EncodeRow(r membership.Row) *wire.InstanceRow {
	return &wire.InstanceRow{
		Name:         r.Name,
		Region:       r.Region,
		DataCentre:   r.DataCentre,
		Incarnation:  r.Incarnation,
		CallerAddr:   r.CallerAddr,
		PeerAddr:     r.PeerAddr,
		OperatorAddr: r.OperatorAddr,
		Leaving:      r.State == platform.StateLeaving,
	}
}

// DecodeRow converts a wire message to a row of the instance list. The row describes an entry instance.
func DecodeRow(r *wire.InstanceRow) membership.Row {
	return membership.Row{
		Name:         r.GetName(),
		Kind:         platform.KindEntry,
		Region:       r.GetRegion(),
		DataCentre:   r.GetDataCentre(),
		Incarnation:  r.GetIncarnation(),
		CallerAddr:   r.GetCallerAddr(),
		PeerAddr:     r.GetPeerAddr(),
		OperatorAddr: r.GetOperatorAddr(),
		State:        instanceState(r.GetLeaving()),
	}
}

func instanceState(leaving bool) platform.InstanceState {
	if leaving {
		return platform.StateLeaving
	}
	return platform.StateLive
}

func encodeRef(r membership.Ref) *wire.InstanceRef {
	return &wire.InstanceRef{Name: r.Instance, Incarnation: r.Incarnation}
}

func decodeRef(r *wire.InstanceRef) membership.Ref {
	return membership.Ref{Instance: r.GetName(), Incarnation: r.GetIncarnation()}
}

// EncodeReports converts reports to their wire messages.
func EncodeReports(reports []membership.Report) []*wire.MemberReport {
	out := make([]*wire.MemberReport, len(reports))
	for i, r := range reports {
		out[i] = &wire.MemberReport{
			Target:    encodeRef(r.Target),
			Scope:     r.Scope,
			Counter:   r.Counter,
			Overrules: r.Overrules,
			Leaving:   r.Leaving,
		}
	}
	return out
}

func decodeReports(reports []*wire.MemberReport) []membership.Report {
	out := make([]membership.Report, len(reports))
	for i, r := range reports {
		out[i] = membership.Report{
			Scope:     r.GetScope(),
			Target:    decodeRef(r.GetTarget()),
			Counter:   r.GetCounter(),
			Overrules: r.GetOverrules(),
			Leaving:   r.GetLeaving(),
		}
	}
	return out
}

// EncodeList returns the update that carries a full list.
func EncodeList(version int64, rows []membership.Row) *wire.ListUpdate {
	update := &wire.ListUpdate{Version: version}
	for _, row := range rows {
		update.Rows = append(update.Rows, EncodeRow(row))
	}
	return update
}

// EncodeListChange returns the update that carries only the changes from version base of the list to a later version.
func EncodeListChange(base int64, before []membership.Row, version int64, after []membership.Row) *wire.ListUpdate {
	update := &wire.ListUpdate{Base: base, Version: version}
	former := make(map[membership.Ref]membership.Row, len(before))
	for _, row := range before {
		former[refOf(row)] = row
	}
	for _, row := range after {
		if old, found := former[refOf(row)]; !found || old != row {
			update.Rows = append(update.Rows, EncodeRow(row))
		}
		delete(former, refOf(row))
	}
	for _, row := range before {
		if _, removed := former[refOf(row)]; removed {
			update.Removed = append(update.Removed, encodeRef(refOf(row)))
		}
	}
	return update
}

// applyListChange returns the rows that result from applying an update to the rows of its base version.
func applyListChange(before []membership.Row, update *wire.ListUpdate) []membership.Row {
	replaced := map[membership.Ref]bool{}
	for _, ref := range update.GetRemoved() {
		replaced[decodeRef(ref)] = true
	}
	var rows []membership.Row
	for _, r := range update.GetRows() {
		row := DecodeRow(r)
		replaced[refOf(row)] = true
		rows = append(rows, row)
	}
	for _, row := range before {
		if !replaced[refOf(row)] {
			rows = append(rows, row)
		}
	}
	return rows
}

func refOf(r membership.Row) membership.Ref {
	return membership.Ref{Instance: r.Name, Incarnation: r.Incarnation}
}
