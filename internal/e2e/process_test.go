package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/gravitational/trace"

	"masticturn/internal/bench/cluster"
	"masticturn/internal/command"
	"masticturn/internal/settings"
)

// envArgs makes the test binary run as the program: its value holds the
// arguments, one a line.
const envArgs = "MASTICTURN_E2E_ARGS"

func TestMain(m *testing.M) {
	if args := os.Getenv(envArgs); args != "" {
		os.Exit(command.Run(context.Background(), strings.Split(args, "\n"), os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// program returns the command that runs the program with arguments.
func program(args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), envArgs+"="+strings.Join(append([]string{"masticturn"}, args...), "\n"))
	return cmd
}

// process is a daemon as a process.
type process struct {
	cmd  *exec.Cmd
	log  *bytes.Buffer // read after the process ended
	once sync.Once
	err  error
}

var _ cluster.Daemon = (*process)(nil)

// processes starts daemons as processes and keeps them by VM name.
type processes struct {
	dir string

	mu      sync.Mutex
	running map[string]*process
}

func newProcesses(t *testing.T) *processes {
	return &processes{dir: t.TempDir(), running: make(map[string]*process)}
}

// start implements cluster.StartDaemon.
func (p *processes) start(_ context.Context, s *settings.Settings, _ cluster.DaemonDeps) (cluster.Daemon, error) {
	file := filepath.Join(p.dir, s.VM.Name+".json")
	raw, err := json.Marshal(s)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	d := &process{cmd: program("serve", "--settings", file), log: &bytes.Buffer{}}
	d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
	if err := d.cmd.Start(); err != nil {
		return nil, trace.Wrap(err)
	}
	p.mu.Lock()
	p.running[s.VM.Name] = d
	p.mu.Unlock()
	return d, nil
}

// signal sends a signal to the daemon of a VM.
func (p *processes) signal(t *testing.T, vm string, sig syscall.Signal) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.running[vm].cmd.Process.Signal(sig); err != nil {
		t.Errorf("%v to %s: %v", sig, vm, err)
	}
}

// wait returns the error of the process once it has ended.
func (d *process) wait() error {
	d.once.Do(func() {
		if err := d.cmd.Wait(); err != nil {
			d.err = trace.Wrap(err, "log:\n%s", d.log)
		}
	})
	return d.err
}

// Drain implements cluster.Daemon: an exit code other than 0 is an error.
func (d *process) Drain(context.Context) error {
	if err := d.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return trace.Wrap(err)
	}
	return d.wait()
}

// Kill implements cluster.Daemon.
func (d *process) Kill() {
	_ = d.cmd.Process.Signal(syscall.SIGKILL) // it may have ended already
	_ = d.wait()
}
