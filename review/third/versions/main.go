// Command versions plays case 12: two software versions serve side by side, and all daemons are killed while they hold
// streams, which their clients take up again. The rule is CONFIG: requests have an answer half a second after their
// route's timeout.
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
	routeTimeout  = 6 * time.Second
	clientTimeout = 8 * time.Second
	answerSlack   = 500 * time.Millisecond
	daemons       = 7
	runners       = 18
	tenants       = 400
	// streamsPerSecond is the rate of streams on new connections, keptConnections the number of clients that keep
	// theirs and send short requests.
	streamsPerSecond = 500
	keptConnections  = 100
	warmup           = 4 * time.Second
	interval         = 8 * time.Second // between two kills of all daemons
	kills            = 11
	restartDelay     = 300 * time.Millisecond
	readyTimeout     = 1500 * time.Millisecond
	judgeTime        = 12 * time.Second
	minLate          = 8
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
	if !s.AwaitReady(20 * time.Second) {
		fmt.Println("cannot run: the daemons are not ready")
		s.Close()
		return stage.CannotRun
	}
	c := &check{}
	ctx, stop := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	clients.Go(func() { traffic(ctx, s, c, &clients) })
	for range keptConnections {
		clients.Go(func() { keep(ctx, s, c) })
	}
	time.Sleep(warmup)
	for range kills {
		if stage.Trouble() {
			c.disturb()
			for _, d := range s.Daemons {
				d.Signal(syscall.SIGKILL)
			}
		}
		time.Sleep(interval)
		if !allAnswer(s) {
			break // no further kill, so that what follows is judged
		}
	}
	time.Sleep(judgeTime)
	stop()
	clients.Wait()
	broken, verdict := c.verdict()
	for _, d := range s.Daemons {
		if broken && !d.Answers(readyTimeout) {
			s.Dump(d, "archivist")
		}
	}
	return s.Finish(broken, verdict)
}

func prepare(s *stage.Stage) error {
	var list []stage.Tenant
	for i := range tenants {
		list = append(list, stage.Tenant{Name: fmt.Sprintf("loft%d", i), Prepaid: 1_000_000_000})
	}
	s.Store.Configure(list)
	for i := range runners {
		if _, err := s.AddRunner(stage.Model, fmt.Sprintf("v%d", 1+i%2), 50*time.Millisecond, 0); err != nil {
			return err
		}
	}
	for range daemons {
		d, err := s.AddDaemon("")
		if err != nil {
			return err
		}
		d.SetRestartDelay(restartDelay)
	}
	return nil
}

// allAnswer reports whether all daemons say whether they are ready.
func allAnswer(s *stage.Stage) bool {
	answers := make(chan bool, len(s.Daemons))
	for _, d := range s.Daemons {
		go func() { answers <- d.Answers(readyTimeout) }()
	}
	all := true
	for range s.Daemons {
		all = <-answers && all
	}
	return all
}

// keep sends short requests on a kept connection, and opens another one when that is lost.
func keep(ctx context.Context, s *stage.Stage, c *check) {
	connection := s.Keep()
	defer func() { connection.Close() }()
	for ctx.Err() == nil {
		select {
		case <-time.After(time.Duration(1000+rand.IntN(3000)) * time.Millisecond):
		case <-ctx.Done():
			return
		}
		a := s.Send(context.Background(), stage.Draft{
			Tenant: tenant(), Prompt: 1460, Output: 9, Deadline: clientTimeout, MaxAttempts: 1, Connection: connection,
		})[0]
		c.add(&a)
		if !a.Complete {
			connection.Close()
			connection = s.Keep()
		}
	}
}

func tenant() string { return fmt.Sprintf("loft%d", rand.IntN(tenants)) }

// traffic sends drafts until the context ends.
func traffic(ctx context.Context, s *stage.Stage, c *check, clients *sync.WaitGroup) {
	ticker := time.NewTicker(time.Second / streamsPerSecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		clients.Go(func() {
			for _, a := range s.Send(context.Background(), stage.Draft{
				Tenant: tenant(), Prompt: 9190, Output: 120 + 3*rand.IntN(20), Deadline: clientTimeout, MaxAttempts: 6,
			}) {
				c.add(&a)
			}
		})
	}
}

// check judges the requests that were sent while all machines were in touch.
type check struct {
	mu sync.Mutex
	// inTouch is when all machines are in touch again.
	inTouch time.Time
	// waiting counts the requests that were unanswered at their route's timeout, late those that still were half a
	// second later, by daemon.
	waiting, late int
	lateAt        map[string]int
}

// restartTime is how long daemons that were killed need to run again.
const restartTime = 1500 * time.Millisecond

func (c *check) disturb() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inTouch = time.Now().Add(restartTime + stage.StableTime)
}

func (c *check) add(a *stage.Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lateAt == nil {
		c.lateAt = make(map[string]int)
	}
	// A request is judged if no kill has come within stableMs before it or while it was unanswered. Those that a kill
	// has ended have ended early.
	if a.SentAt.Before(c.inTouch) {
		return
	}
	answered := a.EndedAt
	if !a.AnsweredAt.IsZero() {
		answered = a.AnsweredAt
	}
	switch took := answered.Sub(a.SentAt); {
	case took >= routeTimeout+answerSlack:
		c.late++
		c.lateAt[a.Daemon.Name]++
		fallthrough
	case took >= routeTimeout:
		c.waiting++
	}
}

func (c *check) verdict() (broken bool, text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.late >= minLate && 2*c.late > c.waiting, fmt.Sprintf("%d requests were unanswered at the timeout of their route, %d of them half a second later, at %v", c.waiting, c.late, c.lateAt)
}
