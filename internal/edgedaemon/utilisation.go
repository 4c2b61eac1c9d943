package edgedaemon

import (
	"syscall"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/core/strength"
)

// processors returns the number of processors that this process may use, 0 if it is not known.
func (s *Settings) processors() float64 { return s.CPUShare * s.Cores }

// utilisationMeter measures the share of its processors that this process uses. The bytes on its link are counted by no meter for all
// its connections, so that the share of the link is not known. It is not safe for concurrent use.
type utilisationMeter struct {
	processors float64
	now        func() time.Time
	used       func() (time.Duration, error)

	lastAt   time.Time
	lastUsed time.Duration
}

func newUtilisationMeter(processors float64, now func() time.Time) *utilisationMeter {
	return &utilisationMeter{processors: processors, now: now, used: processorTime}
}

// measure returns the utilisation since the last call.
func (m *utilisationMeter) measure() strength.Utilisation {
	used, err := m.used()
	if err != nil || m.processors <= 0 {
		return strength.Utilisation{}
	}
	now := m.now()
	took, spent, first := now.Sub(m.lastAt), used-m.lastUsed, m.lastAt.IsZero()
	m.lastAt, m.lastUsed = now, used
	if first || took <= 0 {
		return strength.Utilisation{}
	}
	return strength.Utilisation{Processor: max(0, spent.Seconds()/took.Seconds()/m.processors)}
}

// processorTime returns the processor time that this process has used since its start.
func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, err
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}
