package soaker

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"

	"laburnumline/emulator"
)

// history records the requests of callers and their responses, and checks them. It is safe for
// concurrent use.
type history struct {
	// planned is true if only planned work disturbs the daemons, which then answer each request that runs.
	planned bool

	mu         sync.Mutex
	attempts   []*attempt
	served     int
	usedTokens int
	// maxOverspend is the largest number of tokens by which usedTokens exceeded the prepaid
	// tokens. It was seen after the request with the ID overspentAfter.
	maxOverspend   int
	overspentAfter string
	violations     []string
}

// attempt is a request that was sent once.
type attempt struct {
	id      string
	request request
	// refused is true when the response stated that the request has not been executed and never
	// will be.
	refused bool
	// cut is true when the connection ended without a whole answer.
	cut bool
}

func newHistory() *history { return &history{} }

// begin records an attempt before it is sent.
func (h *history) begin(req request) *attempt {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := &attempt{id: fmt.Sprintf("%016x", len(h.attempts)+1), request: req}
	h.attempts = append(h.attempts, a)
	return a
}

// notExecutedStatuses are the statuses which state that a request has not been executed and
// never will be.
var notExecutedStatuses = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

// finish records the response to an attempt. If reading the body failed with bodyErr, the body is
// incomplete.
func (h *history) finish(a *attempt, status int, signature, body string, bodyErr error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a.refused = slices.Contains(notExecutedStatuses, status)
	if status != http.StatusOK {
		return
	}
	complete := completeResponses(a.request, a.id)
	if a.request.path == "/drafts/" && body != "" {
		h.usedTokens += promptTokens + tokensPerEvent*strings.Count(body, "\n\n")
	}
	switch {
	case bodyErr != nil && !slices.ContainsFunc(complete, func(want string) bool { return strings.HasPrefix(want, body) }):
		h.addViolationLocked("request %s: what came of its answer is not of it: %q", a.id, body)
	case bodyErr != nil:
	case signature == "":
		h.addViolationLocked("request %s: a success is not signed", a.id)
	case !slices.Contains(complete, body):
		h.addViolationLocked("request %s: an answer that ends as whole is not: %q", a.id, body)
	default:
		h.served++
	}
}

// recordCut records that the connection of an attempt ended without a whole answer.
func (h *history) recordCut(a *attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a.cut = true
}

// checkPrepaid compares the tokens that the account has used with those that it has prepaid.
func (h *history) checkPrepaid(prepaid int, requestID string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if overspend := h.usedTokens - prepaid; overspend > h.maxOverspend {
		h.maxOverspend, h.overspentAfter = overspend, requestID
	}
}

// addViolation records that a guarantee was violated.
func (h *history) addViolation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addViolationLocked(format, args...)
}

func (h *history) addViolationLocked(format string, args ...any) {
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// check compares the responses that callers received with the executions at the upstreams.
func (h *history) check(f *fixture) *Report {
	executions := make(map[string]int)
	for _, upstream := range append(slices.Clone(f.deskUpstreams), f.modelUpstreams...) {
		for _, execution := range upstream.Executions() {
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
		if h.planned && a.cut && executions[a.id] > 0 {
			h.addViolationLocked("request %s ran, and its connection ended without a whole answer", a.id)
		}
		if a.request.path == "/plain/" && executions[a.id] > 1 {
			h.addViolationLocked("request %s ran %d times", a.id, executions[a.id])
		}
	}
	return &Report{Requests: len(h.attempts), Served: h.served, UsedTokens: h.usedTokens, PrepaidTokens: f.currentPrepaid(), Violations: h.violations}
}

// upstreamFaults are the faults with which an upstream can handle a request.
var upstreamFaults = []emulator.RunnerFault{
	emulator.RunnerFull, emulator.RunnerMisdirected, emulator.RunnerLoseResponse, emulator.RunnerTruncate, emulator.RunnerFail,
	emulator.RunnerUnframed, emulator.RunnerTruncateUnframed, emulator.RunnerCutHead,
}
