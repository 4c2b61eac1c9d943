package main

import (
	"bufio"
	"bytes"
	"context"
	_ "embed"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dogwoodknot.example/dogwoodknot/platform/platformtest"
)

//go:embed config.json
var tenantsConfiguration []byte

// otherKey is that of a second organisation.
const otherKey = "key-of-printer"

const (
	// leftoverShare is the part of its answers to which a faulty runner appends bytes.
	leftoverShare = 0.05
	// leftoverLength is how long the runner is faulty, and leftoverCalm the time before.
	leftoverLength = 6 * time.Second
	leftoverCalm   = 5 * time.Second
	transferWork   = 15 * time.Millisecond
)

// bookings is a runner that answers with the record of a booking, on connections of its own.
type bookings struct {
	*runner
	faulty   atomic.Bool
	appended atomic.Int64
	listener net.Listener

	ownersMu sync.Mutex
	owners   map[string]string // organisation by the id of its request
}

// addBookings starts and lists a runner that answers with records.
func (w *world) addBookings(id, zone string) (*bookings, error) {
	b := &bookings{runner: &runner{world: w, id: id, service: plainService, zone: zone, slots: 6, born: time.Now().Add(-time.Minute).UnixMilli(),
		runs: make(map[string]int)}, owners: make(map[string]string)}
	var err error
	if b.listener, err = w.listen(); err != nil {
		return nil, err
	}
	b.addr = b.listener.Addr().String()
	b.end = func() { _ = b.listener.Close() }
	go func() {
		for {
			c, err := b.listener.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	w.runners = append(w.runners, b.runner)
	w.renew(b.runner)
	return b, nil
}

// recordOf is what a runner answers with: it names the request and its organisation.
func recordOf(id, organisation string) string {
	return fmt.Sprintf(`{"booking":"%s","patron":"%s","account":"RO49-%s"}`+"\n", id, organisation, id)
}

// serve answers the requests of a connection. While the runner is faulty, it writes some of its records twice: once as the whole answer,
// and once more into the buffer of the connection, which is sent with the next answer.
func (b *bookings) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	var left []byte
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id, owner := platformtest.RequestID(req.Header), platformtest.Organisation(req.Header)
		b.mu.Lock()
		b.runs[id]++
		b.mu.Unlock()
		b.ownersMu.Lock()
		b.owners[id] = owner
		b.ownersMu.Unlock()
		time.Sleep(transferWork)
		body := recordOf(id, owner)
		h := http.Header{"Content-Type": {"application/json"}, "Content-Length": {fmt.Sprint(len(body))}}
		platformtest.Sign(h, id)
		answer := bytes.NewBuffer(left)
		answer.WriteString("HTTP/1.1 200 OK\r\n")
		_ = h.Write(answer) // to a buffer
		answer.WriteString("\r\n" + body)
		if _, err := c.Write(answer.Bytes()); err != nil {
			return
		}
		left = nil
		if b.faulty.Load() && rand.Float64() < leftoverShare {
			b.appended.Add(1)
			left = []byte(body)
		}
	}
}

// playLeftover: runners append bytes to some of their complete answers, which arrive where the next answer on the connection is expected.
func playLeftover(ctx context.Context, w *world, trouble bool) (bool, error) {
	w.store.Put(platformtest.ConfigurationKey, tenantsConfiguration)
	var runners []*bookings
	for zone := range zones {
		b, err := w.addBookings("app-"+zone, zone)
		if err != nil {
			return false, err
		}
		runners = append(runners, b)
	}
	if err := w.startMachines(ctx); err != nil {
		return false, err
	}
	callers, stop := context.WithCancel(ctx)
	defer stop()
	var load sync.WaitGroup
	var mu sync.Mutex
	sent, served, failures, foreign, othersTenant := 0, 0, 0, 0, 0
	for _, m := range w.machines {
		for i := range callersPerMachine {
			load.Go(func() {
				c := newClient(fmt.Sprintf("%s-client-%d", m.name, i), m)
				key, tenant := apiKey, organisation
				if i%2 == 1 {
					key, tenant = otherKey, "printer"
				}
				c.key = key
				defer c.http.CloseIdleConnections()
				for callers.Err() == nil {
					id, out := c.request(ctx, "/transfer/1")
					mu.Lock()
					sent++
					if out.err == nil && out.status == http.StatusOK {
						served++
					} else {
						failures++
					}
					if of := foreignBooking(out.body, id); of != "" {
						owner := ownerOf(runners, of)
						if foreign++; owner != tenant {
							othersTenant++
						}
						w.record.line("%s of %s at %s gets status %d with the answer to %s of %s: %q", id, tenant, m.name, out.status, of, owner, out.body)
					}
					mu.Unlock()
					time.Sleep(time.Duration(5+rand.IntN(25)) * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(leftoverCalm)
	if trouble {
		for _, b := range runners {
			if b.zone == "cluj-a" {
				w.record.line("runner %s of three appends bytes to one in twenty of its answers", b.id)
				b.faulty.Store(true)
			}
		}
	}
	time.Sleep(leftoverLength)
	for _, b := range runners {
		b.faulty.Store(false)
	}
	time.Sleep(leftoverCalm)
	stop()
	load.Wait()
	appended := int64(0)
	for _, b := range runners {
		appended += b.appended.Load()
	}
	w.record.line("%d requests sent, %d served, %d failed; %d answers with appended bytes; %d clients got the answer to another request, %d of them that of another organisation",
		sent, served, failures, appended, foreign, othersTenant)
	return foreign > 0, nil
}

// foreignBooking returns the id of another request whose record is in a body, or "".
func foreignBooking(body, own string) string {
	const field = `booking`
	text := strings.ReplaceAll(body, `\`, "")
	for {
		_, rest, found := strings.Cut(text, `"`+field+`":"`)
		if !found {
			return ""
		}
		id, after, _ := strings.Cut(rest, `"`)
		if id != own {
			return id
		}
		text = after
	}
}

func ownerOf(runners []*bookings, id string) string {
	for _, b := range runners {
		b.ownersMu.Lock()
		owner := b.owners[id]
		b.ownersMu.Unlock()
		if owner != "" {
			return owner
		}
	}
	return "nobody"
}
