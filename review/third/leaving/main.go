// Command leaving plays case 14: runners leave while the store is away and a machine reaches no runner, so that other
// machines serve its requests. The rule is DRAIN: a machine that has passed on an answer with Server-Leaving sends that
// runner nothing that was sent to it later than drainMs after that.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sync"
	"time"

	"laburnumline/review/third/stage"
)

const (
	daemons     = 7
	runners     = 18
	leaving     = 3
	perSecond   = 80
	warmup      = 4 * time.Second
	cutAfter    = 300 * time.Millisecond // the store has gone away
	leaveAfter  = 700 * time.Millisecond // the cut
	cutTime     = 4500 * time.Millisecond
	awayTime    = 6500 * time.Millisecond
	judgeTime   = 4 * time.Second
	readyTime   = 20 * time.Second
	promptCount = 1460
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
	view, err := prepare(s)
	if err != nil {
		fmt.Println("cannot run:", err)
		s.Close()
		return stage.CannotRun
	}
	c := &check{sentAt: make(map[string]time.Time), passedOn: make(map[string]time.Time)}
	ctx, stop := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	clients.Go(func() { traffic(ctx, s, c, &clients) })
	time.Sleep(warmup)
	away := time.Now()
	if stage.Trouble() {
		s.Log("the store goes away")
		s.Store.GoAway()
		time.Sleep(cutAfter)
		s.Log("%s is cut off from all runners", s.Daemons[0].Name)
		view.Cut()
		time.Sleep(leaveAfter)
	}
	for _, r := range s.Runners[:leaving] {
		r.Leave()
	}
	if stage.Trouble() {
		time.Sleep(cutTime - leaveAfter)
		if !view.Heal() {
			fmt.Println("cannot run: an address was taken")
			stop()
			clients.Wait()
			s.Close()
			return stage.CannotRun
		}
		s.Log("%s reaches the runners again", s.Daemons[0].Name)
		time.Sleep(awayTime - time.Since(away))
		s.Store.ComeBack()
		s.Log("the store is back")
	}
	time.Sleep(judgeTime)
	stop()
	clients.Wait()
	broken, verdict := c.verdict(s, view)
	return s.Finish(broken, verdict)
}

func prepare(s *stage.Stage) (*stage.View, error) {
	s.Store.Configure([]stage.Tenant{{Name: "loft0", Prepaid: 1_000_000_000}})
	for range runners {
		if _, err := s.AddRunner(stage.Model, "v1", 10*time.Millisecond, 0); err != nil {
			return nil, err
		}
	}
	view, err := s.NewView("251")
	if err != nil {
		return nil, err
	}
	if _, err := s.AddDaemon(view.Address); err != nil {
		return nil, err
	}
	for range daemons - 1 {
		if _, err := s.AddDaemon(""); err != nil {
			return nil, err
		}
	}
	if !s.AwaitReady(readyTime) {
		return nil, fmt.Errorf("the daemons are not ready")
	}
	return view, nil
}

// traffic sends short streams to the first machine until the context ends.
func traffic(ctx context.Context, s *stage.Stage, c *check, clients *sync.WaitGroup) {
	ticker := time.NewTicker(time.Second / perSecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		clients.Go(func() {
			for _, a := range s.Send(context.Background(), stage.Draft{
				Tenant: "loft0", Prompt: promptCount, Output: 9, Deadline: 6 * time.Second, MaxAttempts: 1, Daemon: s.Daemons[0],
			}) {
				c.add(&a)
			}
		})
	}
}

// check knows what clients have sent and seen.
type check struct {
	mu     sync.Mutex
	sentAt map[string]time.Time // by attempt
	// passedOn is when the machine had first passed on an answer of a runner with Server-Leaving.
	passedOn map[string]time.Time
}

func (c *check) add(a *stage.Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sentAt[a.ID] = a.SentAt
	if first, ok := c.passedOn[a.Runner]; a.Leaving && (!ok || a.AnsweredAt.Before(first)) {
		c.passedOn[a.Runner] = a.AnsweredAt
	}
}

// verdict counts the requests that reached a runner from the machine too late.
func (c *check) verdict(s *stage.Stage, view *stage.View) (broken bool, text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	late, latest := 0, time.Duration(0)
	for _, r := range s.Runners {
		first, ok := c.passedOn[r.ID]
		if !ok {
			continue
		}
		for _, run := range r.Runs() {
			if after := c.sentAt[run.ID].Sub(first); run.From == view.Source && after > stage.DrainTime {
				late++
				latest = max(latest, after)
				s.Log("late: %s was sent %v after the machine had passed on that %s leaves", run.ID, after.Round(time.Millisecond), r.ID)
			}
		}
	}
	return late > 0, fmt.Sprintf("%d requests reached a runner from a machine that had passed on its Server-Leaving more than %v before, the last one %v after that; it had passed it on from %d runners",
		late, stage.DrainTime, latest.Round(time.Millisecond), len(c.passedOn))
}
