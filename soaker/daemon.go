package soaker

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"laburnumline/platform"
)

// daemon is one VM with a daemon process, which is restarted when it ends, and the proxy through
// which the process reaches the store.
type daemon struct {
	name     string
	program  string
	folder   string
	frontend string
	proxy    *proxy

	// ended is called with a description when the process ends by itself.
	ended func(string)

	mu      sync.Mutex
	process *exec.Cmd
	// killed and stopping are true once the process has been sent SIGKILL or SIGTERM.
	killed, stopping bool
	// startHangups draws after which times a process that starts is sent SIGHUP. Nil means that it is not.
	startHangups *rand.Rand
	closed       bool
	supervisors  sync.WaitGroup
}

// restartDelay is how long the platform takes to restart a process.
const restartDelay = 300 * time.Millisecond

// reservationPort is the port on which a run listens to reserve a block of addresses.
const reservationPort = "17999"

// reserveAddresses finds a block of loopback addresses that no other run uses and reserves it
// until the returned listener is closed. If two runs used the same addresses, the daemons of one
// would respond to the callers of the other.
func reserveAddresses() (block string, reservation net.Listener, err error) {
	for a := 64; a < 127; a++ {
		for b := 1; b < 250; b++ {
			block = fmt.Sprintf("127.%d.%d", a, b)
			if reservation, err = net.Listen("tcp", net.JoinHostPort(block+".1", reservationPort)); err == nil {
				return block, reservation, nil
			}
		}
	}
	return "", nil, fmt.Errorf("claim loopback addresses: %w", err)
}

// newDaemon writes the settings file of a daemon. All daemons use the same ports, each on its
// own address.
func newDaemon(i int, c Config, block, folder, storeAddress string) (*daemon, error) {
	p, err := newProxy(storeAddress)
	if err != nil {
		return nil, err
	}
	ip := fmt.Sprintf("%s.%d", block, i+1)
	d := &daemon{name: fmt.Sprint("edge-", i), program: c.Program, folder: folder, proxy: p, frontend: net.JoinHostPort(ip, "18000")}
	settings := fmt.Sprintf(`nodeName = %q
ipAddress = %q
zone = "z"
internalPorts = [18010, 18020]
[bind]
frontend = %q
ready = %q
[limits]
memoryLimitMb = 256
bandwidthMbps = 1000.0
[ruleParams]
graceS = 8
retryRatio = %v
retryWindowS = %v
retryAllowance = %d
[platform]
address = %q
`, d.name, ip, d.frontend, net.JoinHostPort(ip, "18001"), retryRatio, retryWindow.Seconds(), retryAllowance(c.Daemons), p.address)
	return d, os.WriteFile(d.settingsPath(), []byte(settings), 0o600)
}

func (d *daemon) settingsPath() string { return filepath.Join(d.folder, "settings.toml") }

// start starts the process and restarts it whenever it ends, until the daemon is closed.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(d.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process := exec.Command(d.program, "launch")
	process.Env = append(os.Environ(), platform.SettingsVariable+"="+d.settingsPath())
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return fmt.Errorf("start %s: %w", d.program, err)
	}
	d.process, d.killed, d.stopping = process, false, false
	d.hangUpAtStart()
	d.supervisors.Go(func() {
		_ = process.Wait() // the process is restarted whatever its exit status
		_ = log.Close()
		d.mu.Lock()
		killed, stopping := d.killed, d.stopping
		d.mu.Unlock()
		if endedByItself(process.ProcessState, killed, stopping) {
			d.ended(fmt.Sprintf("%s: process %d ended by itself: %v, stopping %v", d.name, process.Process.Pid, process.ProcessState, stopping))
		}
		time.Sleep(restartDelay)
		if err := d.start(); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	})
	return nil
}

// endedByItself reports whether a process ended without having been told to, or failed when it was told to stop. SIGTERM
// itself ends a process that has not run its program yet.
func endedByItself(state *os.ProcessState, killed, stopping bool) bool {
	status, ok := state.Sys().(syscall.WaitStatus)
	terminated := ok && status.Signaled() && status.Signal() == syscall.SIGTERM
	return !killed && !(stopping && (state.Success() || terminated))
}

// signal sends a signal to the current process.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.killed = d.killed || s == syscall.SIGKILL
	d.stopping = d.stopping || s == syscall.SIGTERM
	if d.process != nil {
		_ = d.process.Process.Signal(s) // fails if the process has ended, in which case it is restarted anyway
	}
}

// close kills the process, which is not restarted, and closes the proxy.
func (d *daemon) close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.signal(syscall.SIGKILL)
	d.supervisors.Wait()
	d.proxy.close()
}
