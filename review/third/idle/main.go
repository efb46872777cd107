// Command idle plays case 13: the operator changes the limit of idle connections several times. The rule is LOST: a
// daemon answers each request from a kept connection that it has passed on to a runner.
package main

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"laburnumline/review/third/stage"
)

const (
	daemons = 8
	runners = 18
	// The clients of one zone keep their connections to its three daemons.
	used        = 3
	connections = 70 // to each of them
	thinkTime   = 15 * time.Millisecond
	warmup      = 3 * time.Second
	storms      = 4
	stormTime   = 1500 * time.Millisecond
	stormGap    = 60 * time.Millisecond
	calmTime    = 4 * time.Second // after each storm
	deadline    = 15 * time.Second
	readyTime   = 20 * time.Second
	allowed     = 3
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
	list := []stage.Tenant{{Name: "loft0", Prepaid: 1_000_000_000}}
	if err := prepare(s, list); err != nil {
		fmt.Println("cannot run:", err)
		s.Close()
		return stage.CannotRun
	}
	c := &check{unanswered: make(map[string]*stage.Daemon)}
	ctx, stop := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for _, d := range s.Daemons[:used] {
		for range connections {
			clients.Go(func() { client(ctx, s, d, c) })
		}
	}
	time.Sleep(warmup)
	for i := range storms {
		storm(s, list, i)
		time.Sleep(calmTime)
	}
	stop()
	clients.Wait()
	broken, verdict := c.verdict(s)
	return s.Finish(broken, verdict)
}

func prepare(s *stage.Stage, list []stage.Tenant) error {
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

// storm writes configs in quick succession, each with another limit of idle connections.
func storm(s *stage.Stage, list []stage.Tenant, number int) {
	if !stage.Trouble() {
		time.Sleep(stormTime)
		return
	}
	s.Log("storm %d", number)
	for i, end := 0, time.Now().Add(stormTime); time.Now().Before(end); i++ {
		s.Store.ConfigureIdle(list, stage.IdleTimeout+time.Duration(1+i%2)*time.Second)
		time.Sleep(stormGap)
	}
}

// client sends one request after another on a connection, and opens another one when that is closed.
func client(ctx context.Context, s *stage.Stage, d *stage.Daemon, c *check) {
	for ctx.Err() == nil {
		connection, err := net.DialTimeout("tcp", d.Frontend, time.Second)
		if err != nil {
			time.Sleep(thinkTime)
			continue
		}
		reader := bufio.NewReader(connection)
		for n := 0; ctx.Err() == nil; n++ {
			if !request(s, d, connection, reader, n > 0, c) {
				break
			}
			time.Sleep(thinkTime)
		}
		connection.Close()
	}
}

// request sends a request and reads its answer. It reports whether the connection stays open.
func request(s *stage.Stage, d *stage.Daemon, connection net.Conn, reader *bufio.Reader, kept bool, c *check) bool {
	id := stage.NewAttemptID()
	head := fmt.Sprintf("POST %s2f HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nModel-Id: m\r\nToken-Usage: 300,9\r\nPrompt-Prefix: 5c1e07a2:150,%08x:150\r\n"+
		"Deadline-Ms: %d\r\nAuthorization: Bearer loft0\r\nContent-Length: 4\r\n\r\nbody", stage.AskPath, stage.Host, id, rand.Uint32(), deadline.Milliseconds())
	// The errors of a connection that is closed show when its answer is read.
	_ = connection.SetDeadline(time.Now().Add(deadline))
	_, _ = io.WriteString(connection, head)
	_, err := reader.Peek(1)
	if err != nil {
		if kept && !stage.IsTimeout(err) {
			c.add(id, d)
			s.Log("closed without an answer: %s at %s: %v", id, d.Name, err)
		}
		return false
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		s.Log("broken answer: %s at %s: %v", id, d.Name, err)
		return false
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		s.Log("broken answer: %s at %s: %v", id, d.Name, err)
		return false
	}
	c.answered()
	return !response.Close
}

// check has the requests from kept connections that were closed without an answer.
type check struct {
	mu         sync.Mutex
	unanswered map[string]*stage.Daemon
	answers    int
}

func (c *check) add(id string, d *stage.Daemon) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered[id] = d
}

func (c *check) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers++
}

// verdict counts those that a runner has run, by daemon.
func (c *check) verdict(s *stage.Stage) (broken bool, text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	passedOn := make(map[string]int)
	for _, r := range s.Runners {
		for _, run := range r.Runs() {
			if d := c.unanswered[run.ID]; d != nil {
				passedOn[d.Name]++
				s.Log("lost: %s was run by %s, and %s closed its connection without an answer", run.ID, r.ID, d.Name)
				broken = broken || passedOn[d.Name] > allowed
			}
		}
	}
	return broken, fmt.Sprintf("%d answers; %d requests from kept connections crossed a close, and of these were passed on to a runner, by daemon: %v", c.answers, len(c.unanswered), passedOn)
}
