package orchestrator

import (
	"os"
	"os/exec"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// stopTimeout is how long a process may take to end when asked to.
const stopTimeout = 20 * time.Second

// process is a child process whose output goes to a file.
type process struct {
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
}

func startProcess(logFile, program string, args ...string) (*process, error) {
	log, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), "GOMAXPROCS=4")
	if err := cmd.Start(); err != nil {
		return nil, errors.CombineErrors(err, log.Close())
	}
	p := &process{cmd: cmd, log: log, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait() // how it ended is seen by who asked for it
		_ = log.Close()
		close(p.done)
	}()
	return p, nil
}

// signal sends a signal.
func (p *process) signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// kill ends the process at once.
func (p *process) kill() {
	_ = p.signal(syscall.SIGKILL) // it may have ended before
	<-p.done
}

// stop asks the process to end and waits for it.
func (p *process) stop() error {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return nil // it has ended before
	}
	select {
	case <-p.done:
		if code := p.cmd.ProcessState.ExitCode(); code != 0 {
			return errors.Newf("%s ended with code %d", p.cmd.Path, code)
		}
		return nil
	case <-time.After(stopTimeout):
		p.kill()
		return errors.Newf("%s did not end within %s", p.cmd.Path, stopTimeout)
	}
}
