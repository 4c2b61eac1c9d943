package netdial

import (
	"context"
	"net"
	"time"
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Staggered returns a function that opens a connection with dial and starts a further attempt whenever none has had an outcome for the given
// time, until the timeout. The kernel repeats a lost packet of one attempt after a second only, so that a peer which can be reached again would
// be found that much later. Any error but a time-out ends all attempts.
func Staggered(dial DialFunc, every, timeout time.Duration) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		type outcome struct {
			conn net.Conn
			err  error
		}
		outcomes := make(chan outcome)
		attempt := func() {
			conn, err := dial(ctx, network, addr)
			select {
			case outcomes <- outcome{conn, err}:
			case <-ctx.Done():
				if err == nil {
					_ = conn.Close() // another attempt was first
				}
			}
		}
		go attempt()
		next := time.NewTicker(every)
		defer next.Stop()
		for {
			select {
			case o := <-outcomes:
				if o.err == nil || ctx.Err() == nil {
					return o.conn, o.err
				}
			case <-next.C:
				go attempt()
			case <-ctx.Done():
				return nil, context.Cause(ctx)
			}
		}
	}
}
