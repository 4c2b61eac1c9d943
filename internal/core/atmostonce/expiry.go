package atmostonce

import (
	"time"
)

// raiseHorizon forgets the records of hours past the retention.
func (l *Log) raiseHorizon(now Time) {
	h := horizonAt(now.Wall)
	if now.Boot >= l.nextHour {
		l.nextHour = now.Boot.Add(time.Duration(hourMillis-now.Wall%hourMillis) * time.Millisecond)
	}
	l.wakeAt(l.nextHour)
	if h <= l.checkedHorizon || h <= l.horizon {
		return
	}
	l.checkedHorizon = h
	if !l.expires(h) {
		return
	}
	l.horizon = h
	l.recs.forget(h)
	if l.o.rules.noHorizon {
		l.recordedHorizon = h
		l.horizon = 0
	}
}

// expires reports whether a horizon lets records or entries be deleted.
func (l *Log) expires(h int64) bool {
	if start, ok := l.recs.oldest(); ok && start+hourMillis <= h {
		return true
	}
	for i, e := range l.entries {
		if l.deletable(i, e, h) {
			return true
		}
	}
	return false
}

// deletable reports whether an entry can go once the horizon is recorded. Seals stay, since a paused owner that wakes up
// after any time must find its next sequence taken. The last entry stays, since the next seal must follow it.
func (l *Log) deletable(i int, e entryMeta, h int64) bool {
	if l.o.rules.noTailKept {
		return e.newestKey < h
	}
	return !e.seal && i < len(l.entries)-1 && e.newestKey < h
}

// deleteWithin is the time in which the entries of an hour are deleted. It must be under an hour, so that the log does
// not grow.
const deleteWithin = 40 * time.Minute

func (l *Log) startDelete(now Time) {
	if l.recordedHorizon > l.doomedHorizon {
		l.doomedHorizon = l.recordedHorizon
		l.doom(l.recordedHorizon)
	}
	if l.deleting || len(l.doomed) == 0 {
		return
	}
	if now.Boot < l.deleteAt {
		l.wakeAt(l.deleteAt)
		return
	}
	l.deleting = true
	l.emit(Delete{l.doomed[0].sequence})
}

// doom moves the entries that a recorded horizon makes superfluous to the list of those to delete.
func (l *Log) doom(h int64) {
	var kept []entryMeta
	for i, e := range l.entries {
		if l.deletable(i, e, h) {
			l.doomed = append(l.doomed, e)
		} else {
			kept = append(kept, e)
		}
	}
	l.entries = kept
	if len(l.doomed) > 0 {
		l.deletePause = min(l.o.DeleteInterval, deleteWithin/time.Duration(len(l.doomed)))
	}
}

func (l *Log) deleted(now Time, e Deleted) {
	l.deleting = false
	if e.Failed {
		l.deleteAt = now.Boot.Add(l.o.StoreRetryDelay)
		return
	}
	l.deleteAt = now.Boot.Add(l.deletePause)
	l.doomed = l.doomed[1:]
}
