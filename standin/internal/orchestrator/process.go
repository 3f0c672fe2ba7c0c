package orchestrator

import (
	"os"
	"os/exec"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// stopTimeout bounds the time from SIGTERM to the exit of a process.
const stopTimeout = 20 * time.Second

// process is a child process that logs to a file. done is closed when it exits.
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
		_ = cmd.Wait() // callers read the exit code from ProcessState
		_ = log.Close()
		close(p.done)
	}()
	return p, nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// kill sends SIGKILL and waits for the process to exit.
func (p *process) kill() {
	_ = p.signal(syscall.SIGKILL) // it may have exited already
	<-p.done
}

// stop sends SIGTERM and waits for the process to exit. It kills the process after
// stopTimeout.
func (p *process) stop() error {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return nil // it has exited already
	}
	select {
	case <-p.done:
		if code := p.cmd.ProcessState.ExitCode(); code != 0 {
			return errors.Newf("%s exited with code %d", p.cmd.Path, code)
		}
		return nil
	case <-time.After(stopTimeout):
		p.kill()
		return errors.Newf("%s did not exit within %s", p.cmd.Path, stopTimeout)
	}
}
