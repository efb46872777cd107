package allocator_test

import (
	"container/heap"
	"iter"
	"math/rand/v2"
	"time"
)

// simulator runs events and processes on virtual time, one at a time.
type simulator struct {
	now    time.Time
	random *rand.Rand
	queue  events
	order  int
}

func newSimulator(seed uint64) *simulator {
	return &simulator{now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(seed, 1))}
}

type event struct {
	at    time.Time
	order int
	run   func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].order < e[j].order
	}
	return e[i].at.Before(e[j].at)
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (s *simulator) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.queue, event{s.now.Add(d), s.order, run})
}

// every calls work at an interval until the end.
func (s *simulator) every(interval time.Duration, end time.Time, work func()) {
	if s.now.After(end) {
		return
	}
	work()
	s.after(interval, func() { s.every(interval, end, work) })
}

// run handles events until none is left.
func (s *simulator) run() {
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
}

// process is a sequence of steps that may wait.
type process struct {
	*simulator
	resume func()
	yield  func(time.Duration) bool
}

// untilSignal is the duration of a wait that a signal ends.
const untilSignal = time.Duration(-1)

func (s *simulator) start(steps func(p *process)) {
	p := &process{simulator: s}
	next, _ := iter.Pull(func(yield func(time.Duration) bool) {
		p.yield = yield
		steps(p)
	})
	p.resume = func() {
		if d, ok := next(); ok && d != untilSignal {
			s.after(d, p.resume)
		}
	}
	p.resume()
}

func (p *process) sleep(d time.Duration) { p.yield(max(0, d)) }

// signal wakes all processes that wait for it, once.
type signal struct {
	done    bool
	waiting []*process
}

func (g *signal) wait(p *process) {
	if !g.done {
		g.waiting = append(g.waiting, p)
		p.yield(untilSignal)
	}
}

func (g *signal) fire() {
	g.done = true
	for _, p := range g.waiting {
		p.after(0, p.resume)
	}
}

// jitter returns a random duration between d and 1.5 d.
func (s *simulator) jitter(d time.Duration) time.Duration {
	return d + time.Duration(s.random.Int64N(int64(d)/2+1))
}
