package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"laburnumline/emulator"
)

const (
	routeHost    = "yese36.example"
	key          = "n2ctnfzs989anu6wsjnb"
	tenant       = "hule930"
	smallKey     = "k7vq02h8x3mzt5c1ryed"
	smallTenant  = "pubo540"
	modelService = "delo42a"
	streamPrefix = "/kapu710/"

	frontendPort = "8227"
	readyPort    = "8220"

	// heartbeat is the interval in which runners write their entries.
	heartbeat = 1200 * time.Millisecond
	// leadTime is the time from the start of the daemons to the start of the traffic.
	leadTime = 10 * time.Second
	// stable is the bound stableMs.
	stable = 3 * time.Second
)

// zones are those of the deployment, with the number of daemons in each.
var zones = []struct {
	name    string
	daemons int
}{{"gulf-south-a", 3}, {"gulf-south-b", 2}, {"gulf-south-c", 2}}

// world is the deployment: stand-ins of the platform, and the daemons.
type world struct {
	start   time.Time
	folder  string
	store   *emulator.Store
	server  *http.Server
	address string
	daemons []*daemon
	load    load

	mu      sync.Mutex
	record  bytes.Buffer
	runners []*runner
	stopped chan struct{}
	once    sync.Once
}

// load is the traffic of a case: streams that begin in a second, events of a stream, and the time from the arrival of a request at
// its runner to the head of the answer.
type load struct {
	perSecond, events int
	firstToken        time.Duration
}

// newWorld starts the store. The operator's first configuration is written before the daemons start.
func newWorld(program string) (*world, error) {
	folder, err := os.MkdirTemp("", "review-second")
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &world{
		start: time.Now(), folder: folder, store: emulator.NewStore(emulator.StoreConfig{ReadsPerSecond: 2000, WritesPerSecond: 400}),
		address: listener.Addr().String(), stopped: make(chan struct{}),
	}
	w.server = &http.Server{Handler: w.store.PlatformHandler(), ReadHeaderTimeout: time.Second}
	go func() { _ = w.server.Serve(listener) }() // returns when close closes the server
	block, err := freeBlock()
	if err != nil {
		return nil, err
	}
	for _, z := range zones {
		for i := range z.daemons {
			d := &daemon{
				world: w, program: program, zone: z.name, name: fmt.Sprintf("edge-%s-%d", z.name, i+1),
				ip: fmt.Sprintf("%s.%d", block, len(w.daemons)+1),
			}
			if err := d.writeSettings(); err != nil {
				return nil, err
			}
			w.daemons = append(w.daemons, d)
		}
	}
	return w, nil
}

// freeBlock returns a block of loopback addresses on which nobody listens.
func freeBlock() (string, error) {
	for range 100 {
		block := fmt.Sprintf("127.%d.%d", 64+rand.IntN(60), 1+rand.IntN(250))
		l, err := net.Listen("tcp", net.JoinHostPort(block+".1", frontendPort))
		if err != nil {
			continue
		}
		return block, l.Close()
	}
	return "", fmt.Errorf("no loopback addresses are free")
}

// writeConfiguration writes the operator's configuration.
func (w *world) writeConfiguration(version int) {
	type object = map[string]any
	text, err := json.Marshal(object{
		"version": version,
		"routes": []object{{
			"name": "rig-ask", "hostname": routeHost, "prefix": streamPrefix, "routeType": "streaming", "resumable": true, "attempts": 2, "timeoutMs": 15_000,
			"targetLatencyMs": 500, "targetItlMs": 250, "priority": 2, "sessionAffinity": true, "backend": modelService,
		}},
		"backends": []object{{
			"name": modelService, "healthPath": "/healthz", "maxConnections": 360,
			"backendEngine": object{"batchSlots": 64, "kvCapacity": 448_621, "interval": 3},
		}},
		"limits": object{"maxHeaderBytes": 16384, "maxBodyBytes": 4_194_304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15_000},
		"tenants": []object{
			{"name": tenant, "apiKeys": []string{key}, "prepaid": 1_000_000_000},
			{"name": smallTenant, "apiKeys": []string{smallKey}, "prepaid": 1_000_000_000},
		},
	})
	if err != nil {
		panic(err) // the types above can be encoded
	}
	w.store.PutAsOperator("op/config", text)
}

// startDaemons starts all daemons and waits for the time from their start to the start of the traffic.
func (w *world) startDaemons() error {
	for _, d := range w.daemons {
		if err := d.start(); err != nil {
			return err
		}
	}
	time.Sleep(leadTime)
	for _, d := range w.daemons {
		if !d.answersReady() {
			return fmt.Errorf("%s is not ready after %v", d.name, leadTime)
		}
	}
	go w.checkReadiness()
	return nil
}

// checkReadiness takes daemons out of the rotation after two misses, as the platform does.
func (w *world) checkReadiness() {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-w.stopped:
			return
		case <-ticker.C:
		}
		for _, d := range w.daemons {
			go func() {
				ready := d.answersReady()
				d.mu.Lock()
				defer d.mu.Unlock()
				if d.misses++; ready {
					d.misses = 0
				}
			}()
		}
	}
}

// pick returns the daemon for a new connection, other than some if possible: one that is in the rotation.
func (w *world) pick(except map[*daemon]bool) *daemon {
	var rotation, others []*daemon
	for _, d := range w.daemons {
		if !d.inRotation() {
			continue
		}
		rotation = append(rotation, d)
		if !except[d] {
			others = append(others, d)
		}
	}
	switch {
	case len(others) > 0:
		return others[rand.IntN(len(others))]
	case len(rotation) > 0:
		return rotation[rand.IntN(len(rotation))]
	}
	return w.daemons[rand.IntN(len(w.daemons))]
}

// busiest returns the daemon with the most attempts in progress.
func (w *world) busiest() *daemon {
	best, most := w.daemons[0], -1
	for _, d := range w.daemons {
		d.mu.Lock()
		if d.attempts > most {
			best, most = d, d.attempts
		}
		d.mu.Unlock()
	}
	return best
}

// count adds to the attempts in progress.
func (d *daemon) count(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.attempts += n
}

// close ends all processes and stand-ins.
func (w *world) close() {
	w.once.Do(func() {
		close(w.stopped)
		for _, d := range w.daemons {
			d.close()
		}
		for _, r := range w.runners {
			r.close()
		}
		_ = w.server.Close()
		_ = os.RemoveAll(w.folder) // a temporary folder
	})
}

// daemon is one machine with its process.
type daemon struct {
	world                   *world
	program, name, zone, ip string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	misses  int
	// attempts counts the attempts of clients that are in progress.
	attempts int
	// powerLostAt is when the machine last lost power, or zero.
	powerLostAt time.Time
	// disturbedUntil is until when the machine is not in touch.
	disturbedUntil time.Time
}

func (d *daemon) settingsPath() string { return filepath.Join(d.world.folder, d.name+".toml") }

// writeSettings writes the settings file as the users' pages show it.
func (d *daemon) writeSettings() error {
	text := fmt.Sprintf(`nodeName = %q
nodeRole = "daemon"
machineClass = "edge"
servingRoles = ["edge"]
ipAddress = %q
zone = %q
region = "gulf-south"
internalPorts = [7340,7355]
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
frontend = %q
ready = %q
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
address = %q
form = "kv"
writesPerS = 400
readsPerS = 2000
retentionS = 20
valueBytes = 1048576
minTtlMs = 1000
`, d.name, d.ip, d.zone, d.frontend(), net.JoinHostPort(d.ip, readyPort), d.world.address)
	return os.WriteFile(d.settingsPath(), []byte(text), 0o600)
}

func (d *daemon) frontend() string { return net.JoinHostPort(d.ip, frontendPort) }

// start starts the process with the command of the deploy file.
func (d *daemon) start() error {
	log, err := os.OpenFile(filepath.Join(d.world.folder, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		if log, err = os.OpenFile(filepath.Join(keep, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
			return err
		}
	}
	process := exec.Command(d.program, "launch", "--metrics", "9464")
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.world.folder, "LABURNUMLINE_NODE_FILE=" + d.settingsPath()}
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	d.mu.Lock()
	d.process, d.ended = process, ended
	if until := time.Now().Add(stable); until.After(d.disturbedUntil) {
		d.disturbedUntil = until
	}
	d.mu.Unlock()
	go func() {
		_ = process.Wait() // its exit status is not checked: the cases end processes themselves
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process != nil {
		_ = d.process.Process.Signal(s) // fails if the process has ended
	}
}

// losePower makes the machine silent: nothing answers, and connections to it hang. What it knows is lost. It is back
// after a time, by a call of regainPower.
func (d *daemon) losePower(dark time.Duration) {
	d.disturb(time.Now().Add(dark))
	d.signal(syscall.SIGSTOP)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.powerLostAt = time.Now()
}

// hangs reports whether a connection that was opened at a time hangs, because the machine has lost power since. The client does not
// see that it ends.
func (d *daemon) hangs(openedAt time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.powerLostAt.After(openedAt)
}

// regainPower ends the process that was silent, and starts a new one.
func (d *daemon) regainPower() error {
	d.signal(syscall.SIGKILL)
	d.mu.Lock()
	ended := d.ended
	d.mu.Unlock()
	<-ended
	return d.start()
}

// disturb records that the machine is not in touch until stable after the end of a disturbance.
func (d *daemon) disturb(end time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if until := end.Add(stable); until.After(d.disturbedUntil) {
		d.disturbedUntil = until
	}
}

// inTouch reports whether the machine is in touch now.
func (d *daemon) inTouch() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !time.Now().Before(d.disturbedUntil)
}

func (d *daemon) inRotation() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.misses < 2
}

func (d *daemon) answersReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + net.JoinHostPort(d.ip, readyPort) + "/api/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close ends the process.
func (d *daemon) close() {
	d.signal(syscall.SIGCONT)
	d.signal(syscall.SIGKILL)
	d.mu.Lock()
	ended := d.ended
	d.mu.Unlock()
	if ended != nil {
		<-ended
	}
}
