package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"

	"laburnumline/emulator"
)

const (
	// restartDelay is how long the platform takes to start a process that has ended.
	restartDelay = 300 * time.Millisecond
	// storeDelay is the time in which the store answers.
	storeDelay = 4 * time.Millisecond
	// memoryLimitMB is that of the machines of the site gctdc-quotes.
	memoryLimitMB = 134
	// memoryCheckInterval is the time between two looks at the memory of a process.
	memoryCheckInterval = 20 * time.Millisecond
	// readyTimeout limits the wait for daemons that start.
	readyTimeout = 20 * time.Second
	// heartbeat is the time between two check-ins of a runner.
	heartbeat = 1200 * time.Millisecond
	// settingsVariable names the settings file to a daemon.
	settingsVariable = "LABURNUMLINE_NODE_FILE"
	deployFile       = "deploy/system.toml"
)

// fleet is a small deployment: the store, the runners and the daemons.
type fleet struct {
	journal     *journal
	folder      string
	block       string // the first three numbers of the daemons' addresses
	reservation net.Listener
	store       *emulator.Store
	command     []string // of the deploy file
	basePort    int

	mu      sync.Mutex
	daemons []*daemon
	runners []*runner
	servers []*http.Server
	done    chan struct{}
	closed  bool
}

// Offsets of the ports on the address of each daemon.
const (
	frontendPort = iota
	readyPort
	controlPort
	firstInternalPort
	lastInternalPort = firstInternalPort + 15
)

func newFleet(log *journal) (*fleet, error) {
	command, err := deployCommand()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{
		journal: log, folder: folder, command: command, done: make(chan struct{}),
		store: emulator.NewStore(emulator.StoreConfig{}),
	}
	f.store.SetFaults(emulator.StoreFaults{Delay: storeDelay})
	return f, f.reserveAddresses()
}

// deployCommand returns the command of the deploy file's role.
func deployCommand() ([]string, error) {
	var file struct {
		Roles map[string]struct {
			Run string `toml:"run"`
		} `toml:"roles"`
	}
	if _, err := toml.DecodeFile(deployFile, &file); err != nil {
		return nil, fmt.Errorf("read the deploy file: %w", err)
	}
	command := strings.Fields(file.Roles["daemon"].Run)
	if len(command) == 0 {
		return nil, errors.New("the deploy file has no role daemon")
	}
	return command, nil
}

// reserveAddresses finds a block of loopback addresses and a range of ports that nobody uses.
func (f *fleet) reserveAddresses() error {
	f.basePort = 20000 + os.Getpid()%20000
	for third := 1; third < 250; third++ {
		f.block = fmt.Sprintf("127.%d.%d", 64+os.Getpid()%60, third)
		l, err := net.Listen("tcp", net.JoinHostPort(f.block+".250", strconv.Itoa(f.basePort)))
		if err == nil {
			f.reservation = l
			return nil
		}
	}
	return errors.New("no free loopback addresses")
}

// serveStore serves the store to the daemons at an address of its own. wrap may be nil.
func (f *fleet) serveStore(wrap func(http.Handler) http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	handler := f.store.PlatformHandler()
	if wrap != nil {
		handler = wrap(handler)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	f.mu.Lock()
	f.servers = append(f.servers, server)
	f.mu.Unlock()
	go func() { _ = server.Serve(l) }() // ends with close
	return l.Addr().String(), nil
}

// daemon is one machine with a daemon process, which the platform starts again when it ends.
type daemon struct {
	fleet    *fleet
	name     string
	zone     string
	ip       string
	settings string
	log      string

	mu      sync.Mutex
	process *exec.Cmd
	starts  int
	// held is true while the platform does not start the process again.
	held bool
	// outOfMemory counts the ends because the memory exceeded its limit.
	outOfMemory int
	changed     chan struct{} // closed and replaced at each start and end
}

// settingsTemplate has the fields of the users' settings file for a machine of the site gctdc-quotes.
const settingsTemplate = `nodeName = %q
nodeRole = "my-edge"
machineClass = "edge"
servingRoles = ["edge","control_plane"]
ipAddress = %q
zone = %q
region = "gulf-south"
internalPorts = [%d,%d]
seedNodes = []
bootstrap = true
inTolerance = false
discovery = "platform"
ingress = "virtual_ip"
heartbeatMs = 1200
[zones]
gulf-south-a = "gulf-south"
gulf-south-b = "gulf-south"
gulf-south-c = "gulf-south"
[bind]
frontend = %q
ready = %q
controlPlane = %q
[limits]
cpuQuota = 0.4
cpuCores = 1
memoryLimitMb = %d
maxFds = 4100
bandwidthMbps = 1000.0
diskQuotaMb = 0
[ruleParams]
stableMs = 3000
drainMs = 2000
graceS = 8
configApplyMs = 2000
retryRatio = 0.2
retryWindowS = 10
retryAllowance = 54
[platform]
address = %q
form = "kv"
writesPerS = 400
readsPerS = 2000
retentionS = 20
valueBytes = 1048576
minTtlMs = 1000
`

var zones = []string{"gulf-south-a", "gulf-south-b", "gulf-south-c"}

// addDaemon starts one more machine.
func (f *fleet) addDaemon(storeAddress string) (*daemon, error) {
	f.mu.Lock()
	i := len(f.daemons)
	zone := zones[i%len(zones)]
	d := &daemon{
		fleet: f, name: fmt.Sprintf("edge-%s-%d", zone, i/len(zones)+1), zone: zone, ip: fmt.Sprintf("%s.%d", f.block, i+1),
		changed: make(chan struct{}),
	}
	f.daemons = append(f.daemons, d)
	f.mu.Unlock()
	d.settings = filepath.Join(f.folder, d.name+".toml")
	d.log = filepath.Join(f.folder, d.name+".log")
	text := fmt.Sprintf(settingsTemplate, d.name, d.ip, d.zone, f.basePort+firstInternalPort, f.basePort+lastInternalPort,
		d.address(frontendPort), d.address(readyPort), d.address(controlPort), memoryLimitMB, storeAddress)
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	return d, d.start()
}

func (d *daemon) address(offset int) string {
	return net.JoinHostPort(d.ip, strconv.Itoa(d.fleet.basePort+offset))
}

// start starts the process and a goroutine that acts as the platform: it ends a process whose memory exceeds
// the limit, and starts one that has ended again.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	log, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process := exec.Command(d.fleet.command[0], d.fleet.command[1:]...)
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), settingsVariable + "=" + d.settings}
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return fmt.Errorf("start %s: %w", d.name, err)
	}
	d.process, d.starts = process, d.starts+1
	d.signalChange()
	d.fleet.journal.printf("%s: process %d starts", d.name, process.Process.Pid)
	ended := make(chan struct{})
	go d.limitMemory(process.Process, ended)
	go func() {
		err := process.Wait()
		close(ended)
		_ = log.Close()
		d.ended(process, err)
	}()
	return nil
}

// signalChange wakes those that wait for a start or an end. The lock is held.
func (d *daemon) signalChange() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// ended starts the process again after a delay, unless it is held back or the case is over.
func (d *daemon) ended(process *exec.Cmd, err error) {
	d.fleet.journal.printf("%s: process %d has ended: %v", d.name, process.Process.Pid, err)
	d.mu.Lock()
	d.process = nil
	d.signalChange()
	d.mu.Unlock()
	time.Sleep(restartDelay)
	for {
		d.mu.Lock()
		held, changed := d.held, d.changed
		d.mu.Unlock()
		if !held {
			break
		}
		select {
		case <-changed:
		case <-d.fleet.done:
			return
		}
	}
	select {
	case <-d.fleet.done:
		return
	default:
	}
	if err := d.start(); err != nil {
		d.fleet.journal.printf("%v", err)
	}
}

// hold keeps a process that ends from being started again until release.
func (d *daemon) hold(held bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.held = held
	d.signalChange()
}

// limitMemory kills a process whose anonymous memory exceeds the machine's limit, as the platform does.
func (d *daemon) limitMemory(process *os.Process, ended <-chan struct{}) {
	ticker := time.NewTicker(memoryCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ended:
			return
		case <-ticker.C:
		}
		used := anonymousKB(process.Pid)
		if used*1024 <= memoryLimitMB*1_000_000 {
			continue
		}
		d.fleet.journal.printf("%s: process %d uses %d kB of a limit of %d MB and is killed", d.name, process.Pid, used, memoryLimitMB)
		d.mu.Lock()
		d.outOfMemory++
		d.mu.Unlock()
		_ = process.Kill() // fails if it has ended
		return
	}
}

// anonymousKB returns the resident memory of a process that is not backed by files, or zero.
func anonymousKB(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		value, ok := strings.CutPrefix(line, "RssAnon:")
		if !ok {
			continue
		}
		kb, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
		if err == nil {
			return kb
		}
	}
	return 0
}

// signal sends a signal to the current process.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process == nil {
		d.fleet.journal.printf("%s: no process for signal %v", d.name, s)
		return
	}
	d.fleet.journal.printf("%s: signal %v", d.name, s)
	_ = d.process.Process.Signal(s) // fails if the process has just ended
}

func (d *daemon) running() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.process != nil
}

// ready asks the daemon as the platform does.
func (d *daemon) ready() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + d.address(readyPort) + "/api/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

var errNotReady = errors.New("a daemon is not ready")

// awaitReady waits until daemons are ready.
func (f *fleet) awaitReady(daemons ...*daemon) error {
	deadline := time.Now().Add(readyTimeout)
	for _, d := range daemons {
		for !d.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s: %w", d.name, errNotReady)
			}
			time.Sleep(50 * time.Millisecond)
		}
		f.journal.printf("%s is ready", d.name)
	}
	return nil
}

// close ends all that the case has started.
func (f *fleet) close() {
	f.mu.Lock()
	if f.closed {
		f.mu.Unlock()
		return
	}
	f.closed = true
	close(f.done)
	daemons, runners, servers := f.daemons, f.runners, f.servers
	f.mu.Unlock()
	for _, d := range daemons {
		d.mu.Lock()
		if d.process != nil {
			_ = d.process.Process.Kill()
		}
		d.mu.Unlock()
	}
	for _, d := range daemons {
		for i := 0; d.running() && i < 100; i++ {
			time.Sleep(20 * time.Millisecond)
		}
	}
	for _, r := range runners {
		r.close()
	}
	for _, s := range servers {
		_ = s.Close()
	}
	_ = f.reservation.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Fprintln(os.Stderr, "logs:", f.folder)
	}
}
