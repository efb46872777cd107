// Command drill plays case 11: the store comes back from a copy that is some seconds old, in a drill, shortly after a
// machine was added whose process is killed meanwhile. The rule is BUDGET: a tenant gets no more than its prepaid.
package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"laburnumline/review/third/stage"
)

const (
	daemons = 6 // before one is added
	runners = 18
	tenants = 10
	// The first tenant uses all that it has prepaid.
	prepaid      = 1_500_000
	ample        = 100_000_000
	promptTokens = 6000
	outputTokens = 30

	warmup    = 5 * time.Second
	newTime   = 2500 * time.Millisecond // in which the clients of the first tenant use the new machine
	awayTime  = 2 * time.Second         // of the store
	killAfter = 1200 * time.Millisecond // the start of that time
	restart   = 900 * time.Millisecond
	spendTime = 25 * time.Second // after the drill
	readyTime = 20 * time.Second
)

func main() {
	program := flag.String("program", "target/laburnumline", "program of the daemons")
	record := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	os.Exit(run(*program, *record))
}

func run(program, record string) int {
	s, err := stage.New(program, record)
	if err != nil {
		fmt.Println("cannot run:", err)
		return stage.CannotRun
	}
	if err := prepare(s); err != nil {
		fmt.Println("cannot run:", err)
		s.Close()
		return stage.CannotRun
	}
	u := &usage{}
	// The background is light traffic of all tenants.
	ctx, stop := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	clients.Go(func() { send(ctx, s, u, &clients, 20, nil, func() string { return tenant(rand.IntN(tenants)) }) })
	time.Sleep(warmup)

	content := s.Store.Copy()
	copiedAt := time.Now()
	s.Log("the copy is taken; a machine is added")
	added, err := s.AddDaemon("")
	if err != nil || !s.AwaitReady(readyTime) {
		fmt.Println("cannot run: the added machine is not ready:", err)
		stop()
		clients.Wait()
		s.Close()
		return stage.CannotRun
	}
	first := func() string { return tenant(0) }
	sendFor(s, u, &clients, newTime, 80, added, first)
	s.Log("the first tenant has used %d of %d tokens", u.of(tenant(0)), prepaid)
	if stage.Trouble() {
		added.SetRestartDelay(restart)
		s.Log("the store goes away")
		s.Store.GoAway()
		time.Sleep(killAfter)
		added.Signal(syscall.SIGKILL)
		time.Sleep(awayTime - killAfter)
		s.Store.Restore(content)
		s.Store.Rewrite()
		s.Store.ComeBack()
		s.Log("the store is back from a copy that is %v old", time.Since(copiedAt).Round(time.Millisecond))
	}
	sendFor(s, u, &clients, spendTime, 60, nil, first)
	stop()
	clients.Wait()
	used := u.of(tenant(0))
	return s.Finish(used > prepaid, fmt.Sprintf("tenant %s has prepaid %d tokens and got %d", tenant(0), prepaid, used))
}

func tenant(i int) string { return fmt.Sprintf("loft%d", i) }

func prepare(s *stage.Stage) error {
	var list []stage.Tenant
	for i := range tenants {
		t := stage.Tenant{Name: tenant(i), Prepaid: ample}
		if i == 0 {
			t.Prepaid = prepaid
		}
		list = append(list, t)
	}
	s.Store.Configure(list)
	for range runners {
		if _, err := s.AddRunner(stage.Model, "v1", 5*time.Millisecond, 0); err != nil {
			return err
		}
	}
	for range daemons {
		if _, err := s.AddDaemon(""); err != nil {
			return err
		}
	}
	if !s.AwaitReady(readyTime) {
		return fmt.Errorf("the daemons are not ready")
	}
	return nil
}

// sendFor sends requests for a time.
func sendFor(s *stage.Stage, u *usage, clients *sync.WaitGroup, d time.Duration, perSecond int, to *stage.Daemon, tenant func() string) {
	ctx, stop := context.WithTimeout(context.Background(), d)
	defer stop()
	send(ctx, s, u, clients, perSecond, to, tenant)
}

// send sends requests until the context ends, to one daemon or to those in rotation.
func send(ctx context.Context, s *stage.Stage, u *usage, clients *sync.WaitGroup, perSecond int, to *stage.Daemon, tenant func() string) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		draft := stage.Draft{Tenant: tenant(), Prompt: promptTokens, Output: outputTokens, Deadline: 6 * time.Second, MaxAttempts: 2, Daemon: to}
		clients.Go(func() {
			for _, a := range s.Send(context.Background(), draft) {
				u.add(&draft, &a)
			}
		})
	}
}

// usage counts what tenants have got.
type usage struct {
	mu     sync.Mutex
	tokens map[string]int
}

// add counts the input of a request once, and the output that was delivered.
func (u *usage) add(d *stage.Draft, a *stage.Attempt) {
	if a.Events == 0 {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.tokens == nil {
		u.tokens = make(map[string]int)
	}
	u.tokens[d.Tenant] += d.Prompt + a.Events*stage.TokensPerEvent
}

func (u *usage) of(tenant string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.tokens[tenant]
}
