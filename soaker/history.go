package soaker

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"

	"laburnumline/emulator"
)

// history is what callers have seen. It is safe for concurrent use.
type history struct {
	mu         sync.Mutex
	attempts   []*attempt
	served     int
	usedTokens int // tokens
	// maxOverspend is the most by which used was above what was prepaid, seen after overspentAt.
	maxOverspend   int
	overspentAfter string
	violations     []string
}

// attempt is one request of a caller.
type attempt struct {
	id      string
	request request
	// refused is true when the answer promised that it has not run and never will.
	refused bool
}

func newHistory() *history { return &history{} }

func (h *history) begin(req request) *attempt {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := &attempt{id: fmt.Sprintf("%016x", len(h.attempts)+1), request: req}
	h.attempts = append(h.attempts, a)
	return a
}

// notExecutedStatuses are the statuses that promise that a request has not run and never will.
var notExecutedStatuses = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

// finish enters an answer. The error is that of its body, which then is not whole.
func (h *history) finish(a *attempt, status int, signature, body string, bodyErr error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a.refused = slices.Contains(notExecutedStatuses, status)
	if status != http.StatusOK {
		return
	}
	want := completeResponse(a.request, a.id)
	if a.request.path == "/drafts/" && body != "" {
		h.usedTokens += promptTokens + tokensPerEvent*strings.Count(body, "\n\n")
	}
	switch {
	case bodyErr != nil && !strings.HasPrefix(want, body):
		h.addViolationLocked("request %s: what came of its answer is not of it: %q", a.id, body)
	case bodyErr != nil:
	case signature == "":
		h.addViolationLocked("request %s: a success is not signed", a.id)
	case body != want:
		h.addViolationLocked("request %s: an answer that ends as whole is not: %q", a.id, body)
	default:
		h.served++
	}
}

// checkPrepaid compares what the account has got with what it has prepaid.
func (h *history) checkPrepaid(prepaid int, requestID string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if overspend := h.usedTokens - prepaid; overspend > h.maxOverspend {
		h.maxOverspend, h.overspentAfter = overspend, requestID
	}
}

// addViolation notes a broken promise.
func (h *history) addViolation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addViolationLocked(format, args...)
}

func (h *history) addViolationLocked(format string, args ...any) {
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// check compares what callers have seen with what upstreams have run.
func (h *history) check(f *fixture) *Report {
	executions := make(map[string]int)
	for _, upstream := range append(slices.Clone(f.deskUpstreams), f.modelUpstreams...) {
		for _, execution := range upstream.Runs() {
			executions[execution.ID]++
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.maxOverspend > 0 {
		h.addViolationLocked("%d tokens more than prepaid, after request %s", h.maxOverspend, h.overspentAfter)
	}
	for _, a := range h.attempts {
		if a.refused && executions[a.id] > 0 {
			h.addViolationLocked("request %s was refused as not run, and ran", a.id)
		}
		if a.request.path == "/plain/" && executions[a.id] > 1 {
			h.addViolationLocked("request %s ran %d times", a.id, executions[a.id])
		}
	}
	return &Report{Requests: len(h.attempts), Served: h.served, UsedTokens: h.usedTokens, PrepaidTokens: f.currentPrepaid(), Violations: h.violations}
}

// upstreamFaults are those that an upstream can meet a request with.
var upstreamFaults = []emulator.RunnerFault{
	emulator.RunnerFull, emulator.RunnerElse, emulator.RunnerLost, emulator.RunnerTorn, emulator.RunnerFails,
}
