package integration

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// process is a child process of the tests.
type process struct {
	name string
	cmd  *exec.Cmd
	out  *output
	done chan struct{} // closed when the process has ended
}

// output keeps what a process writes.
type output struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.data.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.data.String()
}

// starts takes the commands to start. The kernel ends a child with Pdeathsig when the thread that started it ends, so that
// one thread starts them all and lives as long as the tests.
var starts = sync.OnceValue(func() chan func() {
	c := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range c {
			f()
		}
	}()
	return c
})

func startProcess(name, path string, env []string, args ...string) (*process, error) {
	p := &process{name: name, cmd: exec.Command(path, args...), out: &output{}, done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = p.out, p.out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	starts() <- func() { started <- p.cmd.Start() }
	if err := <-started; err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	go func() {
		_ = p.cmd.Wait() // the end is seen by done, the reason in the output
		close(p.done)
	}()
	return p, nil
}

func (p *process) pid() int { return p.cmd.Process.Pid }

func (p *process) running() bool { return !isClosed(p.done) }

func (p *process) signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// kill ends the process as a crash does and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Kill() // an error means that it has ended
	<-p.done
}

// stop asks for the planned stop and waits for the end.
func (p *process) stop(ctx context.Context) error {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.done:
		return nil
	case <-ctx.Done():
		return errors.Newf("%s has not ended: %v", p.name, ctx.Err())
	}
}

// poll waits until a condition holds and returns false if it does not within the time.
func poll(within time.Duration, condition func() bool) bool {
	deadline := time.Now().Add(within)
	for !condition() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(20 * time.Millisecond)
	}
	return true
}
