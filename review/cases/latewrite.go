package main

import (
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// lateWrite: a machine is killed and started again while the store loses the answer of a write, and the other machine is killed and
// started again later. QUOTA.
func lateWrite(b *bed) error {
	const (
		restartAfter = time.Second
		late         = 3 * time.Second // PROTOCOL.md: a call that receives no response may be executed seconds later
	)
	one, other, err := b.twoRegions()
	if err != nil {
		return err
	}
	if err := b.startAll(); err != nil {
		return err
	}
	time.Sleep(8 * time.Second)
	defer b.newClient("client-"+one.name, one).load(loadOne)()
	defer b.newClient("client-"+other.name, other).load(loadOther)()
	time.Sleep(8 * time.Second)
	restart := func(m *machine) error {
		m.signal(syscall.SIGKILL)
		<-m.ended
		time.Sleep(restartAfter)
		return m.start(false)
	}
	if b.trouble {
		// The answer of the first write with a key after the start is lost; it is carried out late.
		var lost atomic.Bool
		b.store.mu.Lock()
		b.store.loseAnswer = func(keys []string) time.Duration {
			if len(keys) > 0 && strings.HasSuffix(keys[0], other.name) && !lost.Swap(true) {
				return late
			}
			return 0
		}
		b.store.mu.Unlock()
	}
	if err := restart(other); err != nil {
		return err
	}
	time.Sleep(16 * time.Second)
	for _, m := range b.machines {
		b.record.say("key of machine %s is in the store: %v", m.name, b.store.has("dogwoodknot/instances/"+m.name))
	}
	if err := restart(one); err != nil {
		return err
	}
	// From here on no disruption follows.
	time.Sleep(30 * time.Second)
	for _, m := range b.machines {
		b.record.say("key of machine %s is in the store: %v", m.name, b.store.has("dogwoodknot/instances/"+m.name))
	}
	return b.judgeQuota(time.Now().Add(-28 * time.Second))
}
