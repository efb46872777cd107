package soaker

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"

	"laburnumline/emulator"
)

// ledger is what callers have seen. It is safe for concurrent use.
type ledger struct {
	mu       sync.Mutex
	attempts []*attempt
	served   int
	used     int // tokens
	// overspent is the most by which used was above what was prepaid, seen after overspentAt.
	overspent   int
	overspentAt string
	broken      []string
}

// attempt is one request of a caller.
type attempt struct {
	id      string
	request request
	// refused is true when the answer promised that it has not run and never will.
	refused bool
}

func newLedger() *ledger { return &ledger{} }

func (l *ledger) begin(q request) *attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := &attempt{id: fmt.Sprintf("%016x", len(l.attempts)+1), request: q}
	l.attempts = append(l.attempts, a)
	return a
}

// notRun are the statuses that promise that a request has not run and never will.
var notRun = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

// end enters an answer. The error is that of its body, which then is not whole.
func (l *ledger) end(a *attempt, status int, signature, body string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.refused = slices.Contains(notRun, status)
	if status != http.StatusOK {
		return
	}
	want := whole(a.request, a.id)
	if a.request.path == "/drafts/" && body != "" {
		l.used += promptTokens + eventTokens*strings.Count(body, "\n\n")
	}
	switch {
	case err != nil && !strings.HasPrefix(want, body):
		l.note("request %s: what came of its answer is not of it: %q", a.id, body)
	case err != nil:
	case signature == "":
		l.note("request %s: a success is not signed", a.id)
	case body != want:
		l.note("request %s: an answer that ends as whole is not: %q", a.id, body)
	default:
		l.served++
	}
}

// compare compares what the account has got with what it has prepaid.
func (l *ledger) compare(prepaid int, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if over := l.used - prepaid; over > l.overspent {
		l.overspent, l.overspentAt = over, id
	}
}

// broke notes a broken promise.
func (l *ledger) broke(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.note(format, args...)
}

func (l *ledger) note(format string, args ...any) {
	l.broken = append(l.broken, fmt.Sprintf(format, args...))
}

// judge compares what callers have seen with what upstreams have run.
func (l *ledger) judge(s *site) *Report {
	runs := make(map[string]int)
	for _, r := range append(slices.Clone(s.desks), s.models...) {
		for _, run := range r.Executions() {
			runs[run.ID]++
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.overspent > 0 {
		l.note("%d tokens more than prepaid, after request %s", l.overspent, l.overspentAt)
	}
	for _, a := range l.attempts {
		if a.refused && runs[a.id] > 0 {
			l.note("request %s was refused as not run, and ran", a.id)
		}
		if a.request.path == "/plain/" && runs[a.id] > 1 {
			l.note("request %s ran %d times", a.id, runs[a.id])
		}
	}
	return &Report{Requests: len(l.attempts), Served: l.served, Tokens: l.used, Prepaid: s.prepaidNow(), Broken: l.broken}
}

// faultsOfUpstreams are those that an upstream can meet a request with.
var faultsOfUpstreams = []emulator.RunnerFault{
	emulator.RunnerFull, emulator.RunnerMisdirected, emulator.RunnerLoseResponse, emulator.RunnerTruncate, emulator.RunnerFail,
}
