// Package daemon assembles an entry instance out of its services.
package daemon

import (
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/netdial"
	"dogwoodknot.example/dogwoodknot/internal/peer"
)

// minSecretBytes is the smallest cluster secret: as long as the digest that it keys.
const minSecretBytes = 32

// Settings of an entry instance. They come from flags and environment variables; the operators' declarations come from the store.
type Settings struct {
	Name       string `help:"Name of this instance, as in its certificate." required:"" env:"DOGWOODKNOT_NAME"`
	Region     string `help:"Region of this instance." required:"" env:"DOGWOODKNOT_REGION"`
	DataCentre string `help:"Data centre of this instance." required:"" env:"DOGWOODKNOT_DATA_CENTRE"`

	CallerAddr   string `help:"ip:port to listen on for callers." default:"127.0.0.1:8080" env:"DOGWOODKNOT_CALLER_ADDR"`
	PeerAddr     string `help:"ip:port to listen on for other instances." default:"127.0.0.1:8081" env:"DOGWOODKNOT_PEER_ADDR"`
	OperatorAddr string `help:"ip:port to listen on for operators." default:"127.0.0.1:8082" env:"DOGWOODKNOT_OPERATOR_ADDR"`

	AdvertiseCallerAddr   string `help:"ip:port that callers reach this instance at. Default: the address listened on." env:"DOGWOODKNOT_ADVERTISE_CALLER_ADDR"`
	AdvertisePeerAddr     string `help:"ip:port that other instances reach this one at. Default: the address listened on." env:"DOGWOODKNOT_ADVERTISE_PEER_ADDR"`
	AdvertiseOperatorAddr string `help:"ip:port that operators reach this instance at. Default: the address listened on." env:"DOGWOODKNOT_ADVERTISE_OPERATOR_ADDR"`

	Store     string `help:"URL of the platform's key-value store." required:"" env:"DOGWOODKNOT_STORE"`
	List      string `help:"URL of the platform's instance list." required:"" env:"DOGWOODKNOT_LIST"`
	Directory string `help:"URL of the platform's client directory. Empty: nothing is published." env:"DOGWOODKNOT_DIRECTORY"`

	PeerCert string `help:"Certificate of this instance: PEM text or @file." required:"" env:"DOGWOODKNOT_PEER_CERT"`
	PeerKey  string `help:"Private key of the certificate: PEM text or @file." required:"" env:"DOGWOODKNOT_PEER_KEY"`
	PeerCA   string `help:"CA certificates of the cluster: PEM text or @file. Several during a rotation." required:"" env:"DOGWOODKNOT_PEER_CA"`

	ClusterSecrets []string `help:"Secrets that sign operation ids, 32 bytes or more each: the first signs, all are accepted." required:"" env:"DOGWOODKNOT_CLUSTER_SECRETS"`
	OperatorToken  string   `help:"Bearer token of the operators' port. Empty: none is asked for." env:"DOGWOODKNOT_OPERATOR_TOKEN"`

	LogFormat  string  `help:"json, console or auto." default:"auto" enum:"json,console,auto" env:"DOGWOODKNOT_LOG_FORMAT"`
	LogLevel   string  `help:"debug, info, warn or error." default:"info" enum:"debug,info,warn,error" env:"DOGWOODKNOT_LOG_LEVEL"`
	Trace      string  `help:"Where spans go: none, otlp (address from OTEL_EXPORTER_OTLP_*) or stdout." default:"none" enum:"none,otlp,stdout" env:"DOGWOODKNOT_TRACE"`
	TraceRatio float64 `help:"Part of the requests without a sampled parent that are traced, 0 to 1." default:"0.01" env:"DOGWOODKNOT_TRACE_RATIO"`

	RateWait    time.Duration `help:"Longest wait of a request for tokens that its organisation's rate has not brought yet." default:"5s" env:"DOGWOODKNOT_RATE_WAIT"`
	StopDelay   time.Duration `help:"Time between the end of readiness and the end of listening at a planned stop." default:"5s" env:"DOGWOODKNOT_STOP_DELAY"`
	StopTimeout time.Duration `help:"Longest planned stop; requests still in flight are cut then." default:"15m" env:"DOGWOODKNOT_STOP_TIMEOUT"`
}

// Validate returns every problem of the settings.
func (s *Settings) Validate() []error {
	var problems []error
	check := func(ok bool, format string, args ...any) {
		if !ok {
			problems = append(problems, errors.Newf(format, args...))
		}
	}
	check(s.Name != "" && s.Region != "" && s.DataCentre != "", "name, region and data centre must be set")
	for flag, addr := range map[string]string{"caller-addr": s.CallerAddr, "peer-addr": s.PeerAddr, "operator-addr": s.OperatorAddr} {
		check(netdial.IsIPPort(addr), "--%s %q is not ip:port", flag, addr)
	}
	for flag, addr := range map[string]string{"advertise-caller-addr": s.AdvertiseCallerAddr, "advertise-peer-addr": s.AdvertisePeerAddr,
		"advertise-operator-addr": s.AdvertiseOperatorAddr} {
		check(addr == "" || netdial.IsIPPort(addr), "--%s %q is not ip:port", flag, addr)
	}
	for flag, text := range map[string]string{"store": s.Store, "list": s.List, "directory": s.Directory} {
		u, err := url.Parse(text)
		check(text == "" || err == nil && u.Host != "", "--%s %q is not a URL", flag, text)
	}
	check(len(s.ClusterSecrets) > 0, "--cluster-secrets is empty")
	for i, secret := range s.ClusterSecrets {
		check(len(secret) >= minSecretBytes, "cluster secret %d has %d bytes, fewer than %d", i+1, len(secret), minSecretBytes)
	}
	check(s.TraceRatio >= 0 && s.TraceRatio <= 1, "--trace-ratio %v is not between 0 and 1", s.TraceRatio)
	check(s.RateWait >= 0, "--rate-wait %s is negative", s.RateWait)
	check(s.StopDelay >= 0 && s.StopTimeout > 0, "stop delay and timeout must be positive")
	return problems
}

// credentials reads the PEM settings, from the settings themselves or from the files they name.
func (s *Settings) credentials() (peer.PEM, error) {
	cert, certErr := content(s.PeerCert)
	key, keyErr := content(s.PeerKey)
	ca, caErr := content(s.PeerCA)
	return peer.PEM{Certificate: cert, Key: key, CA: ca}, errors.Join(certErr, keyErr, caErr)
}

func (s *Settings) secrets() [][]byte {
	out := make([][]byte, len(s.ClusterSecrets))
	for i, secret := range s.ClusterSecrets {
		out[i] = []byte(secret)
	}
	return out
}

// content returns the text itself, or the content of the file after an @.
func content(text string) ([]byte, error) {
	name, isFile := strings.CutPrefix(text, "@")
	if !isFile {
		return []byte(text), nil
	}
	data, err := os.ReadFile(name)
	return data, errors.Wrap(err, "read certificate or key")
}
