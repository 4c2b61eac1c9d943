package configsync

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/core/configview"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// maxPartBytes bounds uncompressed content that a peer sends: the largest value that the store holds.
const maxPartBytes = 1 << 20

// holder owns the accepted state, with the content that peers may ask for.
type holder struct {
	view atomic.Pointer[configview.View]

	mu    sync.Mutex
	state *configview.State
	parts map[configview.Digest][]byte // gzip, of the head in force
	// newest are the digests that the head in force names and the one before did not.
	newest []configview.Digest
	// former is the head that was in force before. edits are the newest parts as edits of its content, where that is smaller.
	former *configview.Head
	edits  map[configview.Digest]*wire.ConfigPart
	queue  *publisher
	// stash holds content (gzip) of a head that could be read in part only, so that the next attempt reads the rest.
	stash map[configview.Digest][]byte
}

func newHolder(queue *publisher) *holder {
	h := &holder{state: configview.NewState(), parts: make(map[configview.Digest][]byte), stash: make(map[configview.Digest][]byte), queue: queue}
	h.view.Store(h.state.View())
	return h
}

// missing returns the digests that accept needs beside content that is held already.
func (h *holder) missing(head *configview.Head) ([]configview.Digest, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	digests, err := h.state.Missing(head)
	if err != nil {
		return nil, err
	}
	kept := make(map[configview.Digest][]byte)
	var absent []configview.Digest
	for _, d := range digests {
		if part, ok := h.stash[d]; ok {
			kept[d] = part
		} else if _, ok := h.parts[d]; !ok {
			absent = append(absent, d)
		}
	}
	h.stash = kept
	return absent, nil
}

func compressAll(content map[configview.Digest][]byte) map[configview.Digest][]byte {
	out := make(map[configview.Digest][]byte, len(content))
	for d, c := range content {
		out[d] = compress(c)
	}
	return out
}

// keep stores content of a head that is not complete yet.
func (h *holder) keep(content map[configview.Digest][]byte) {
	compressed := compressAll(content)
	h.mu.Lock()
	defer h.mu.Unlock()
	for d, part := range compressed {
		h.stash[d] = part
	}
}

// accept puts a higher revision in force. content holds what missing has named, uncompressed.
func (h *holder) accept(head *configview.Head, content map[configview.Digest][]byte) error {
	compressed := compressAll(content)
	h.mu.Lock()
	defer h.mu.Unlock()
	for d, part := range h.stash {
		compressed[d] = part
	}
	if err := h.addHeld(head, content); err != nil {
		return err
	}
	former, held := h.state.View().Head(), h.parts
	view, err := h.state.Accept(head, content)
	if err != nil {
		return err
	}
	h.keepParts(head, compressed)
	h.keepEdits(former, held, content)
	clear(h.stash)
	h.publish(view)
	return nil
}

// addHeld completes content with parts that an earlier attempt has read, or that moved from one place of the head to another.
func (h *holder) addHeld(head *configview.Head, content map[configview.Digest][]byte) error {
	digests, err := h.state.Missing(head)
	if err != nil {
		return err
	}
	for _, d := range digests {
		part, held := h.stash[d]
		if !held {
			part, held = h.parts[d]
		}
		if _, ok := content[d]; ok || !held {
			continue
		}
		if content[d], err = decompress(part); err != nil {
			return err
		}
	}
	return nil
}

func (h *holder) keepParts(head *configview.Head, compressed map[configview.Digest][]byte) {
	parts := make(map[configview.Digest][]byte, configview.Shards+1)
	newest := h.newest[:0:0]
	for _, d := range append([]configview.Digest{head.General}, head.Shards[:]...) {
		if d == "" {
			continue
		}
		if c, ok := compressed[d]; ok {
			parts[d] = c
			newest = append(newest, d)
		} else {
			parts[d] = h.parts[d]
		}
	}
	h.parts, h.newest = parts, newest
}

// keepEdits prepares the push of the head that was just accepted. held are the parts of the former one.
func (h *holder) keepEdits(former *configview.Head, held map[configview.Digest][]byte, content map[configview.Digest][]byte) {
	h.former, h.edits = former, make(map[configview.Digest]*wire.ConfigPart)
	if former == nil || len(h.newest) > maxPushedParts {
		return
	}
	head := h.state.View().Head()
	bases := map[configview.Digest]configview.Digest{head.General: former.General}
	for i, d := range head.Shards {
		bases[d] = former.Shards[i]
	}
	for _, d := range h.newest {
		base := bases[d]
		part, ok := held[base]
		if !ok {
			continue
		}
		old, err := decompress(part)
		if err != nil {
			continue // the whole part is sent
		}
		if edit := editOf(base, old, content[d]); len(edit.Content) < len(h.parts[d]) {
			h.edits[d] = edit
		}
	}
}

// pushTo returns the push of a head to a peer that has the head with the token in force.
func (h *holder) pushTo(head *configview.Head, token string) (*wire.ConfigPush, error) {
	h.mu.Lock()
	former, current := h.former, h.state.View().Head() == head
	h.mu.Unlock()
	push := &wire.ConfigPush{}
	sent := head
	if current && former != nil && former.Token != "" && former.Token == token {
		push.BaseToken = token
		sent = shorten(head, former)
	}
	text, err := sent.Encode()
	if err != nil {
		return nil, err
	}
	push.Head = compress(text)
	push.Parts = h.newestParts(head, push.BaseToken != "")
	return push, nil
}

// formerToken returns the token of the head that was in force before, or nothing.
func (h *holder) formerToken() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.former == nil {
		return ""
	}
	return h.former.Token
}

// withdraw adds ids to the withdrawn set and returns the new ones.
func (h *holder) withdraw(ids []string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	fresh, view := h.state.Withdraw(ids)
	if len(fresh) > 0 {
		h.publish(view)
	}
	return fresh
}

// publish makes a view visible to readers and then to subscribers. The caller holds h.mu, which keeps the order.
func (h *holder) publish(view *configview.View) {
	h.view.Store(view)
	h.queue.add(view)
}

// part returns compressed content of the head in force, or nil.
func (h *holder) part(d configview.Digest) []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.parts[d]
}

// A push with more parts or bytes than these carries none; the receiver fetches them as a stream. A message has at most 4 MiB.
const (
	maxPushedParts = 4
	maxPushedBytes = 1 << 20
)

// newestParts returns the parts that the last change added, as edits if asked for, if head is in force and they are few.
func (h *holder) newestParts(head *configview.Head, edits bool) []*wire.ConfigPart {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state.View().Head() != head || len(h.newest) > maxPushedParts {
		return nil
	}
	size := 0
	parts := make([]*wire.ConfigPart, len(h.newest))
	for i, d := range h.newest {
		parts[i] = &wire.ConfigPart{Digest: string(d), Content: h.parts[d]}
		if edit := h.edits[d]; edits && edit != nil {
			parts[i] = edit
		}
		size += len(parts[i].Content)
	}
	if size > maxPushedBytes {
		return nil
	}
	return parts
}

func compress(content []byte) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write(content) // a bytes.Buffer takes every write
	_ = w.Close()
	return b.Bytes()
}

func decompress(part []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(part))
	if err != nil {
		return nil, errors.Wrap(err, "decompress content")
	}
	content, err := io.ReadAll(io.LimitReader(r, maxPartBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress content")
	}
	if len(content) > maxPartBytes {
		return nil, errors.Newf("content has more than %d bytes", maxPartBytes)
	}
	return content, nil
}
