// Package stage runs the daemons of laburnumline as processes on loopback addresses, with stand-ins
// for the platform's store, the runners and the clients.
//
// The stand-ins follow PROTOCOL.md. Where it is silent they behave like sound ones. Each daemon has a
// loopback address of its own and the settings of a small deployment (gctdc-quotes).
package stage

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Bounds of gctdc-quotes.
const (
	// StableTime is `stableMs`.
	StableTime = 3 * time.Second
	// DrainTime is `drainMs`.
	DrainTime = 2 * time.Second
	// HeartbeatTime is `heartbeatMs`.
	HeartbeatTime = 1200 * time.Millisecond
	// Host is the host of all routes.
	Host = "ficu95.example"
	// Model and Desk are the services.
	Model = "quote-model"
	Desk  = "order-desk"
	// ModelPath and DeskPath begin the paths of their routes.
	ModelPath = "/lohu930/"
	AskPath   = "/cufi504/" // streams that may not be resumed
	DeskPath  = "/puxa403/"
)

// Exit codes of a case.
const (
	RuleHeld   = 0
	RuleBroken = 1
	CannotRun  = 2
)

// Stage is one run of a case.
type Stage struct {
	Store   *Store
	Daemons []*Daemon
	Runners []*Runner

	program string
	folder  string // temporary; holds settings and logs
	network string // the first three bytes of the loopback addresses
	ports   ports
	started time.Time

	mu     sync.Mutex
	record io.WriteCloser
}

// ports are the same on all machines.
type ports struct{ frontend, ready, internal uint16 }

// New prepares a run of a case, whose record is written to a file. The program is that of the deploy
// file.
func New(program, record string) (*Stage, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("the build of the deploy file is missing: %w", err)
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	s := &Stage{program: program, folder: folder, record: file, started: time.Now()}
	s.network = fmt.Sprintf("127.%d.%d", 130+rand.IntN(100), 1+rand.IntN(250))
	if s.ports, err = s.freePorts(); err != nil {
		return nil, err
	}
	if s.Store, err = newStore(s.network + ".250"); err != nil {
		return nil, err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		s.Close()
		os.Exit(CannotRun)
	}()
	return s, nil
}

// freePorts returns ports that no process has on any address.
func (s *Stage) freePorts() (ports, error) {
	const count = 24
	for range 50 {
		first := uint16(20000 + 100*rand.IntN(100))
		free := true
		for p := first; p < first+count && free; p++ {
			l, err := net.Listen("tcp", fmt.Sprintf("0.0.0.0:%d", p))
			if free = err == nil; free {
				l.Close()
			}
		}
		if free {
			return ports{frontend: first, ready: first + 1, internal: first + 2}, nil
		}
	}
	return ports{}, fmt.Errorf("no %d free ports in a row", count)
}

// Log writes a line to the record, with the time since the start of the run.
func (s *Stage) Log(format string, values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A record that cannot be written is no reason to end the run.
	_, _ = fmt.Fprintf(s.record, "%8.3f %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, values...))
}

// Finish writes the verdict, ends all processes and returns the exit code.
func (s *Stage) Finish(broken bool, verdict string) int {
	code, word := RuleHeld, "held"
	if broken {
		code, word = RuleBroken, "BROKEN"
	}
	s.Log("verdict: %s: %s", word, verdict)
	fmt.Printf("%s: %s\n", word, verdict)
	s.Close()
	return code
}

// Close ends all processes and stand-ins.
func (s *Stage) Close() {
	for _, d := range s.Daemons {
		d.remove()
	}
	for _, r := range s.Runners {
		r.close()
	}
	s.Store.close()
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs of the daemons:", s.folder)
	} else {
		// What stays behind lies in the folder for temporary files.
		_ = os.RemoveAll(s.folder)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.record.Close()
}

// LogOf returns what a daemon has logged in all its starts.
func (s *Stage) LogOf(d *Daemon) string {
	text, err := os.ReadFile(filepath.Join(s.folder, d.Name+".log"))
	if err != nil {
		return ""
	}
	return string(text)
}

// Trouble reports whether the case plays its disturbance: not with TROUBLE=0.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }
