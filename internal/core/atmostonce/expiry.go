package atmostonce

import (
	"time"
)

// raiseHorizon raises the horizon to the end of the retention and drops the records before it, if there is anything to drop.
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
	if !l.canExpire(h) {
		return
	}
	l.horizon = h
	l.recs.dropBefore(h)
	if l.opts.disabled.recordHorizon {
		l.recordedHorizon = h
		l.horizon = 0
	}
}

// canExpire reports whether records or entries could be deleted under a horizon.
func (l *Log) canExpire(h int64) bool {
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

// deletable reports whether an entry may be deleted once the horizon is in the store. Seals are kept, since an earlier owner that
// was paused, for however long, must find its next sequence number taken. The last entry is kept, since the next seal must follow
// it.
func (l *Log) deletable(i int, e entryMeta, h int64) bool {
	if l.opts.disabled.keepTail {
		return e.newestKey < h
	}
	return !e.seal && i < len(l.entries)-1 && e.newestKey < h
}

// deletePeriod is the time within which the entries of an hour are deleted. It must be less than an hour, so that the log does
// not grow.
const deletePeriod = 40 * time.Minute

// startDelete emits the next Delete if entries are to be deleted and the pause since the last one is over.
func (l *Log) startDelete(now Time) {
	if l.recordedHorizon > l.toDeleteHorizon {
		l.toDeleteHorizon = l.recordedHorizon
		l.selectForDeletion(l.recordedHorizon)
	}
	if l.deleting || len(l.toDelete) == 0 {
		return
	}
	if now.Boot < l.deleteAt {
		l.wakeAt(l.deleteAt)
		return
	}
	l.deleting = true
	l.emit(Delete{l.toDelete[0].sequence})
}

// selectForDeletion moves the entries that are no longer needed under a horizon to the list of those to delete. The horizon
// must be in the store.
func (l *Log) selectForDeletion(h int64) {
	var kept []entryMeta
	for i, e := range l.entries {
		if l.deletable(i, e, h) {
			l.toDelete = append(l.toDelete, e)
		} else {
			kept = append(kept, e)
		}
	}
	l.entries = kept
	if len(l.toDelete) > 0 {
		l.deletePause = min(l.opts.DeleteInterval, deletePeriod/time.Duration(len(l.toDelete)))
	}
}

// deleted handles the response to a Delete.
func (l *Log) deleted(now Time, e Deleted) {
	l.deleting = false
	if e.Failed {
		l.deleteAt = now.Boot.Add(l.opts.StoreRetryDelay)
		return
	}
	l.deleteAt = now.Boot.Add(l.deletePause)
	l.toDelete = l.toDelete[1:]
}
