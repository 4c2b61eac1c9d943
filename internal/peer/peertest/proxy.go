package peertest

import (
	"testing"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
)

// Proxy starts a proxy in front of an address. Its Listen is the address to connect to, its Stop cuts all connections.
func Proxy(t testing.TB, name, upstream string) *toxiproxy.Proxy {
	t.Helper()
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	p := toxiproxy.NewProxy(server, name, "127.0.0.1:0", upstream)
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Stop)
	return p
}
