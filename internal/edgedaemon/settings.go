// Package edgedaemon assembles the process of an edge instance: settings, logs, sessions to other instances, servers and the
// planned stop.
package edgedaemon

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/core/retrybudget"
	"dogwoodknot.example/dogwoodknot/internal/core/saturate"
	"dogwoodknot.example/dogwoodknot/internal/edge"
	"dogwoodknot.example/dogwoodknot/internal/netdial"
)

// Settings configure an edge instance. They come from flags and environment variables; the operators' configuration comes from
// the platform's store.
type Settings struct {
	Name       string `help:"Name of this instance." required:"" env:"DOGWOOD_EDGE_NAME"`
	Region     string `help:"Region of this instance." required:"" env:"DOGWOOD_EDGE_REGION"`
	DataCentre string `help:"Data centre of this instance." required:"" env:"DOGWOOD_EDGE_DATA_CENTRE"`
	Regions    string `help:"Region of each data centre, as a JSON object." required:"" env:"DOGWOOD_EDGE_REGIONS"`

	CallerAddr    string `help:"ip:port to listen on for callers." required:"" env:"DOGWOOD_EDGE_CALLER_ADDR"`
	ReadyAddr     string `help:"ip:port to listen on for readiness checks." required:"" env:"DOGWOOD_EDGE_READY_ADDR"`
	DirectoryAddr string `help:"ip:port to listen on for callers that ask where to connect." required:"" env:"DOGWOOD_EDGE_DIRECTORY_ADDR"`
	PeerAddr      string `help:"ip:port to listen on for other instances." required:"" env:"DOGWOOD_EDGE_PEER_ADDR"`
	AdvertisePeer string `help:"ip:port that other instances reach this one at. Default: the address listened on." env:"DOGWOOD_EDGE_ADVERTISE_PEER_ADDR"`
	MetricsAddr   string `help:"ip:port that serves /metrics. Empty: none." env:"DOGWOOD_EDGE_METRICS_ADDR"`

	Store string `help:"ip:port of the platform's store." required:"" env:"DOGWOOD_EDGE_STORE"`

	FirstStart bool `help:"The whole system starts for the first time: the highest-ranked instance of each region reads the store, the others wait for it." env:"DOGWOOD_EDGE_FIRST_START"`

	Grace          float64 `help:"Seconds from the request to stop until the process is killed." default:"8" env:"DOGWOOD_EDGE_GRACE"`
	RetryRatio     float64 `help:"Requests to further endpoints for each request of callers." default:"0.2" env:"DOGWOOD_EDGE_RETRY_RATIO"`
	RetryWindow    float64 `help:"Seconds over which requests to further endpoints are counted." default:"10" env:"DOGWOOD_EDGE_RETRY_WINDOW"`
	RetryAllowance float64 `help:"Requests to further endpoints in a window that are allowed at any load, over all instances." default:"50" env:"DOGWOOD_EDGE_RETRY_ALLOWANCE"`
	DirectoryTTL   float64 `help:"Longest time in seconds that callers keep an answer of the directory." default:"5" env:"DOGWOOD_EDGE_DIRECTORY_TTL"`
	LinkMbps       float64 `help:"Bandwidth of this instance's link in Mbit/s. The instances of a region report to one with much of it. 0: not known." default:"0" env:"DOGWOOD_EDGE_LINK_MBPS"`
	MemoryMB       int     `help:"Memory of this process in MB. 0: no limit." default:"0" env:"DOGWOOD_EDGE_MEMORY_MB"`

	CPUShare     float64 `help:"Share of its machine's processors that this process may use. 0: not known." default:"1" env:"DOGWOOD_EDGE_CPU_SHARE"`
	Cores        float64 `help:"Processors of this instance's machine. The directory names instances by processor (share x processors), link and memory relative to the strongest of their region. 0: not known." default:"0" env:"DOGWOOD_EDGE_CORES"`
	ClientLimits `embed:""`

	LogLevel string `help:"debug, info, warn or error." default:"info" enum:"debug,info,warn,error" env:"DOGWOOD_EDGE_LOG_LEVEL"`
}

// Validate returns all problems of the settings, joined.
func (s *Settings) Validate() error {
	var problems []error
	check := func(ok bool, format string, args ...any) {
		if !ok {
			problems = append(problems, errors.Newf(format, args...))
		}
	}
	for flag, addr := range map[string]string{"caller-addr": s.CallerAddr, "ready-addr": s.ReadyAddr,
		"directory-addr": s.DirectoryAddr, "peer-addr": s.PeerAddr, "store": s.Store} {
		check(netdial.IsIPPort(addr), "--%s %q is not ip:port", flag, addr)
	}
	check(s.AdvertisePeer == "" || netdial.IsIPPort(s.AdvertisePeer), "--advertise-peer %q is not ip:port", s.AdvertisePeer)
	check(s.MetricsAddr == "" || netdial.IsIPPort(s.MetricsAddr), "--metrics-addr %q is not ip:port", s.MetricsAddr)
	if _, err := s.regions(); err != nil {
		problems = append(problems, errors.Wrap(err, "--regions"))
	}
	check(s.Grace > 0, "--grace %v is not positive", s.Grace)
	check(s.RetryRatio >= 0 && s.RetryWindow > 0 && s.RetryAllowance >= 0, "retry budget is negative or has no window")
	check(s.DirectoryTTL > 0, "--directory-ttl %v is not positive", s.DirectoryTTL)
	check(s.LinkMbps >= 0, "--link-mbps %v is negative", s.LinkMbps)
	check(s.MemoryMB >= 0, "--memory-mb %d is negative", s.MemoryMB)
	problems = append(problems, s.ClientLimits.problems()...)
	check(s.CPUShare >= 0 && s.Cores >= 0, "--cpu-share %v or --cores %v is negative", s.CPUShare, s.Cores)
	return errors.Join(problems...)
}

func (s *Settings) regions() (map[string]string, error) {
	var regions map[string]string
	err := json.Unmarshal([]byte(s.Regions), &regions)
	return regions, errors.Wrap(err, "not a JSON object of names")
}

func (s *Settings) bounds() edge.Bounds {
	return edge.Bounds{
		Retries:      retrybudget.Limits{Ratio: s.RetryRatio, Window: seconds(s.RetryWindow), Allowance: s.RetryAllowance},
		DirectoryTTL: seconds(s.DirectoryTTL),
		BodyRate:     s.BodyRate, BodyTimeout: seconds(s.BodyTimeout),
	}
}

// seconds returns a setting in seconds, at most maxSeconds.
func seconds(s float64) time.Duration { return saturate.Seconds(min(s, maxSeconds)) }

// maxSeconds bounds the settings that are times: a year.
const maxSeconds = 365 * 24 * 3600
