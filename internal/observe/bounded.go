package observe

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// boundedLines is the number of lines that wait for a slow reader: a second at the highest rate of requests of an instance.
	boundedLines = 1024
	// boundedBatch is the size up to which lines are written in one call.
	boundedBatch = 32 << 10
	// boundedEvery is how long lines are collected for one write.
	boundedEvery = 50 * time.Millisecond
)

// BoundedWriter passes lines on to a writer without ever waiting for it. Lines beyond its buffer are dropped and counted.
type BoundedWriter struct {
	out     io.Writer
	lines   chan []byte
	sync    chan chan struct{}
	end     chan struct{}
	ended   sync.WaitGroup
	dropped atomic.Int64
}

var _ zapcore.WriteSyncer = (*BoundedWriter)(nil)

// NewBoundedWriter starts the writer. Close it to write what waits.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	w := &BoundedWriter{out: out, lines: make(chan []byte, boundedLines), sync: make(chan chan struct{}), end: make(chan struct{})}
	w.ended.Go(w.run)
	return w
}

// Write takes a line, or drops it if too many wait.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is the number of lines dropped since the start.
func (w *BoundedWriter) Dropped() int64 { return w.dropped.Load() }

// Sync returns when the lines taken so far are written.
func (w *BoundedWriter) Sync() error {
	done := make(chan struct{})
	select {
	case w.sync <- done:
		<-done
	case <-w.end:
	}
	return nil
}

// Close writes what waits and ends the writer.
func (w *BoundedWriter) Close() error {
	close(w.end)
	w.ended.Wait()
	return nil
}

func (w *BoundedWriter) run() {
	for {
		select {
		case line := <-w.lines:
			timer := time.NewTimer(boundedEvery)
			w.collect(line, timer.C)
			timer.Stop()
		case done := <-w.sync:
			w.flush(nil)
			close(done)
		case <-w.end:
			w.flush(nil)
			return
		}
	}
}

// collect writes a line together with those that follow within a moment.
func (w *BoundedWriter) collect(batch []byte, due <-chan time.Time) {
	for len(batch) < boundedBatch {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
		case <-due:
			w.write(batch)
			return
		case <-w.end:
			w.flush(batch)
			return
		}
	}
	w.write(batch)
}

// flush writes the batch and all lines that wait.
func (w *BoundedWriter) flush(batch []byte) {
	for {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
		default:
			w.write(batch)
			return
		}
	}
}

func (w *BoundedWriter) write(batch []byte) {
	if len(batch) == 0 {
		return
	}
	if _, err := w.out.Write(batch); err != nil {
		w.dropped.Add(1)
	}
}

// NewBoundedLogger returns a logger that writes JSON lines to w without waiting for it. level is debug, info, warn or error.
func NewBoundedLogger(w *BoundedWriter, level string) (*zap.Logger, error) {
	lvl, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoder.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), w, lvl)
	return zap.New(plainErrors{core}), nil
}
