package stage

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// metricsPort is that of the deploy file.
const metricsPort = "9464"

// zones are those of gctdc-quotes.
var zones = []string{"gulf-south-a", "gulf-south-b", "gulf-south-c"}

// Daemon is a machine with one daemon. A process that ends is started again, as the platform does.
type Daemon struct {
	Name     string
	Zone     string
	Frontend string // address for clients

	stage    *Stage
	settings string
	ready    string

	mu       sync.Mutex
	process  *exec.Cmd
	removed  bool
	restarts int
	// restartDelay is how long a process that has ended stays away.
	restartDelay time.Duration
	misses       int // of the platform's checks in a row
	inRotation   bool
}

// restartDelay is the short delay after which the platform starts a process again.
const restartDelay = 700 * time.Millisecond

const settingsText = `nodeName = %[1]q
nodeRole = "daemon"
machineClass = "edge"
servingRoles = ["edge"]
ipAddress = %[2]q
zone = %[3]q
region = "gulf-south"
internalPorts = [%[4]d,%[5]d]
seedNodes = []
bootstrap = true
inTolerance = false
discovery = "platform"
ingress = "virtual_ip"
heartbeatMs = 1200
invariants = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
gulf-south-a = "gulf-south"
gulf-south-b = "gulf-south"
gulf-south-c = "gulf-south"
[bind]
frontend = "%[2]s:%[6]d"
ready = "%[2]s:%[7]d"
[limits]
cpuQuota = 0.4
cpuCores = 1
memoryLimitMb = 134
maxFds = 4100
bandwidthMbps = 1000.0
diskQuotaMb = 0
[faultTolerance]
machineCount = 1
zones = 0
regionCount = 0
[ruleParams]
seedStalenessS = 3
addressReuseS = 2
stableMs = 3000
ackTimeoutMs = 4000
syncTimeS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
downgradeSlackMs = 250
maxSkewMs = 5000
revokeStrict = false
revokeMs = 5000
retryRatio = 0.2
retryWindowS = 10
retryAllowance = 54
recoveryS = 12
maxDelayMs = 120
reuseWindowS = 9.8
settle_ms = 1500
[platform]
address = %[8]q
form = "kv"
writesPerS = 400
readsPerS = 2000
retentionS = 20
valueBytes = 1048576
minTtlMs = 1000
`

// AddDaemon adds a machine and starts its daemon. A view of the store of its own, from Store.View, takes the
// place of the store's address unless it is empty.
func (s *Stage) AddDaemon(storeAddress string) (*Daemon, error) {
	i := len(s.Daemons)
	ip := fmt.Sprintf("%s.%d", s.network, 10+i)
	d := &Daemon{
		Name: fmt.Sprintf("edge-%d", i), Zone: zones[i%len(zones)], stage: s, restartDelay: restartDelay,
		Frontend: fmt.Sprintf("%s:%d", ip, s.ports.frontend), ready: fmt.Sprintf("%s:%d", ip, s.ports.ready),
	}
	if storeAddress == "" {
		storeAddress = s.Store.Address
	}
	d.settings = filepath.Join(s.folder, d.Name+".toml")
	text := fmt.Sprintf(settingsText, d.Name, ip, d.Zone, s.ports.internal, s.ports.internal+15, s.ports.frontend, s.ports.ready, storeAddress)
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	s.Daemons = append(s.Daemons, d)
	if err := d.start(); err != nil {
		return nil, err
	}
	go d.check()
	return d, nil
}

// start starts the process as the deploy file says.
func (d *Daemon) start() error {
	log, err := os.OpenFile(filepath.Join(d.stage.folder, d.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	process := exec.Command(d.stage.program, "launch", "--metrics", metricsPort)
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "LABURNUMLINE_NODE_FILE=" + d.settings}
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return err
	}
	d.mu.Lock()
	d.process = process
	removed := d.removed
	d.mu.Unlock()
	if removed {
		_ = process.Process.Kill()
	}
	d.stage.Log("start %s", d.Name)
	go d.await(process)
	return nil
}

// await starts the process again after its end.
func (d *Daemon) await(process *exec.Cmd) {
	err := process.Wait()
	d.stage.Log("end %s: %v", d.Name, err)
	d.mu.Lock()
	delay := d.restartDelay
	d.restarts++
	d.mu.Unlock()
	time.Sleep(delay)
	d.mu.Lock()
	removed := d.removed
	d.mu.Unlock()
	if removed {
		return
	}
	if err := d.start(); err != nil {
		d.stage.Log("start %s: %v", d.Name, err)
	}
}

// Signal sends a signal to the process.
func (d *Daemon) Signal(signal syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process == nil || d.process.Process == nil {
		return
	}
	// An error means that the process has ended.
	_ = d.process.Process.Signal(signal)
	d.stage.Log("%v to %s", signal, d.Name)
}

// SetRestartDelay sets how long a process that ends from now on stays away.
func (d *Daemon) SetRestartDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.restartDelay = delay
}

// remove ends the process for good.
func (d *Daemon) remove() {
	d.mu.Lock()
	d.removed = true
	process := d.process
	d.mu.Unlock()
	if process != nil && process.Process != nil {
		_ = process.Process.Kill() // an error means that it has ended
	}
}

// check asks once a second whether the daemon is ready. After two misses in a row it gets no new connections.
func (d *Daemon) check() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		response, err := client.Get("http://" + d.ready + "/api/readyz")
		ok := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			response.Body.Close()
		}
		d.mu.Lock()
		removed, before := d.removed, d.inRotation
		if ok {
			d.misses, d.inRotation = 0, true
		} else if d.misses++; d.misses >= 2 {
			d.inRotation = false
		}
		after := d.inRotation
		d.mu.Unlock()
		if removed {
			return
		}
		if before != after {
			d.stage.Log("%s in rotation: %v", d.Name, after)
		}
		time.Sleep(time.Second)
	}
}

// InRotation reports whether the platform sends new connections to the daemon.
func (d *Daemon) InRotation() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inRotation
}

// Restarts returns how often the process has ended.
func (d *Daemon) Restarts() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.restarts
}

// AwaitReady waits until all daemons are in rotation, and reports whether they are in time.
func (s *Stage) AwaitReady(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		ready := 0
		for _, d := range s.Daemons {
			if d.InRotation() {
				ready++
			}
		}
		if ready == len(s.Daemons) {
			return true
		}
	}
	return false
}

// Answers reports whether the daemon answers the platform's question whether it is ready, whatever it says.
func (d *Daemon) Answers(timeout time.Duration) bool {
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + d.ready + "/api/readyz")
	if err != nil {
		d.stage.Log("%s does not say whether it is ready: %v", d.Name, err)
		return false
	}
	response.Body.Close()
	return true
}

// Dump lets the daemon write the stacks of its goroutines to its log, which ends it, and copies those to the record that
// wait for a lock in one of some packages.
func (s *Stage) Dump(d *Daemon, packages ...string) {
	d.SetRestartDelay(time.Hour)
	before := len(s.LogOf(d))
	d.Signal(syscall.SIGQUIT)
	time.Sleep(time.Second)
	copied := 0
	for _, stack := range strings.Split(s.LogOf(d)[before:], "\n\n") {
		if !strings.Contains(stack, "sync.Mutex.Lock") || copied == maxStacks {
			continue
		}
		for _, p := range packages {
			if strings.Contains(stack, "laburnumline/"+p) {
				s.Log("%s: %s", d.Name, stack)
				copied++
				break
			}
		}
	}
}

// maxStacks limits the stacks of one daemon in the record.
const maxStacks = 12
