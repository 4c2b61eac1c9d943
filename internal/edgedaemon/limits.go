package edgedaemon

import (
	"cmp"
	"math"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"dogwoodknot.example/dogwoodknot/internal/edge"
)

const (
	// fileDescriptors are reserved for what is neither a caller nor an endpoint, the store or a peer: files, logs, listeners.
	fileDescriptors = 200
	// minFDs is the smallest accepted limit of descriptors: with less, no caller would be left beside the reserve.
	minFDs = fileDescriptors + 56
	// callerFraction is the fraction of the remaining descriptors for callers. Each of their requests may need a connection to an endpoint.
	callerFraction = 0.5
	// defaultConnectionsPerAddr is the limit for one client address. Thousands of clients may be behind one address.
	defaultConnectionsPerAddr = 16_384
	// baseMemory is what the process needs besides the account, in bytes: its code, the view of the fleet, endpoints, sessions.
	baseMemory = 40 << 20
	// accountFraction is the fraction of the rest that is accounted. The garbage collector needs room for what has been released.
	accountFraction = 0.75
	// minAccount is the smallest account: one body of 4 MiB that is sent to another region is held three times for a moment.
	minAccount = 16 << 20
)

// ClientLimits are the settings that bound what clients outside the operators' control can hold. Zero values are the defaults.
type ClientLimits struct {
	MaxFDs             int     `name:"max-fds" help:"Open descriptors of this process, of which 200 are reserved for files and half of the rest for endpoints, store and instances. 0: the limit of the process." default:"0" env:"DOGWOOD_EDGE_MAX_FDS"`
	HeaderTimeout      float64 `help:"Seconds within which callers send the headers of a request." default:"5" env:"DOGWOOD_EDGE_HEADER_TIMEOUT"`
	BodyRate           int     `help:"Bytes per second below which a body that arrives counts as stalled: it is rejected first if memory runs short." default:"32768" env:"DOGWOOD_EDGE_BODY_RATE"`
	BodyTimeout        float64 `help:"Seconds within which a body brings as many bytes as the rate gives in one second. Slower ones are rejected in any case." default:"10" env:"DOGWOOD_EDGE_BODY_TIMEOUT"`
	ConnectionsPerAddr int     `name:"connections-per-address" help:"Connections of callers from one address." default:"16384" env:"DOGWOOD_EDGE_CONNECTIONS_PER_ADDRESS"`
}

// problems returns all problems of the limits.
func (l *ClientLimits) problems() []error {
	var out []error
	check := func(ok bool, format string, args ...any) {
		if !ok {
			out = append(out, errors.Newf(format, args...))
		}
	}
	check(l.MaxFDs == 0 || l.MaxFDs >= minFDs, "--max-fds %d is neither 0 nor at least %d", l.MaxFDs, minFDs)
	check(l.HeaderTimeout >= 0, "--header-timeout %v is negative", l.HeaderTimeout)
	check(l.BodyRate >= 0, "--body-rate %d is negative", l.BodyRate)
	check(l.BodyTimeout >= 0, "--body-timeout %v is negative", l.BodyTimeout)
	check(l.ConnectionsPerAddr >= 0, "--connections-per-address %d is negative", l.ConnectionsPerAddr)
	return out
}

// maxFDs returns the limit of open descriptors.
func (l *ClientLimits) maxFDs() int {
	if l.MaxFDs > 0 {
		return l.MaxFDs
	}
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 1024 // the usual limit of a process
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// callerConnections returns the limit of callers' connections.
func (l *ClientLimits) callerConnections() int {
	return max(int(float64(l.maxFDs()-fileDescriptors)*callerFraction), (minFDs-fileDescriptors)/2)
}

// accountBytes returns the size of the memory account.
func (s *Settings) accountBytes() int64 {
	if s.MemoryMB <= 0 {
		return edge.DefaultMemoryBytes
	}
	collected := float64(s.MemoryMB) * memoryFraction * (1 << 20)
	return max(int64((collected-baseMemory)*accountFraction), minAccount)
}

func (d *Daemon) headerTimeout() time.Duration {
	return cmp.Or(seconds(d.settings.HeaderTimeout), headerTimeout)
}

// countDescriptors returns the number of open descriptors of the process, -1 if it cannot be read.
func countDescriptors() int {
	dir, err := os.Open("/proc/self/fd")
	if err != nil {
		return -1
	}
	defer dir.Close()
	names, err := dir.Readdirnames(-1)
	if err != nil {
		return -1
	}
	return len(names) - 1 // without the one that reads the list
}
