package mirror

import "time"

// Cadence is how often a mirror calls the store. Each call has a cost.
type Cadence struct {
	// Pause is the time between the end of a watch of the store and the next one. Changes within it are received with one call.
	Pause time.Duration
	// PauseNow returns a longer pause while one applies. nil: none ever does.
	PauseNow func() time.Duration
	// RelistAfter is the time after which all keys are listed again if the copy is read from the store itself, in case a watch has
	// missed a change.
	RelistAfter time.Duration
}

// DefaultCadence is for keys that are rarely written.
var DefaultCadence = Cadence{Pause: 200 * time.Millisecond, RelistAfter: 5 * time.Second}

// peerPause is the pause between watches of another instance's copy, which cost no call to the store.
const peerPause = 200 * time.Millisecond

// SetCadence sets the cadence. It must be called before Run.
func (m *Mirror) SetCadence(c Cadence) {
	m.cadence = c
	m.replica.maxAge = c.maxAge()
}

// pause returns the time between two watches of a source.
func (c Cadence) pause(source string) time.Duration {
	if source != "" {
		return peerPause
	}
	if c.PauseNow != nil {
		return max(c.Pause, c.PauseNow())
	}
	return c.Pause
}

// maxAge returns the age up to which the copy is served: one whole watch with its pause, and a failed call.
func (c Cadence) maxAge() time.Duration {
	return watchWait + max(c.Pause, peerPause) + failedCallAllowance
}
