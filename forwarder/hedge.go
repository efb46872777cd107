package forwarder

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"laburnumline/balancer"
	"laburnumline/connector"
	"laburnumline/framer"
	"laburnumline/hedger"
	"laburnumline/quarantiner"
	"laburnumline/recorder"
	"laburnumline/resolver"
)

// maxUncountedBytes limits what is read of a stream without an event, such as comments, before it counts as a
// valid response.
const maxUncountedBytes = 16 << 10

// hedge is the state of a request that may be sent to a second upstream.
type hedge struct {
	request hedger.Request
	// delay is the time without a first byte after which the second send is considered, or zero.
	delay time.Duration
	// sends counts the sends of the first attempt, 1 or 2.
	sends int
}

// hedgedSend is one of the sends of an attempt. Until it arrives on the channel of results, its goroutine owns all
// fields but choice, sentAt and cancel.
type hedgedSend struct {
	reply
	choice balancer.Choice
	cancel context.CancelFunc
	second bool
	// valid is true if the response can be forwarded: a stream that has begun with an event, or another complete
	// response. readyAt is when that was known.
	valid   bool
	readyAt time.Time
}

// beginHedge counts the request, and enables second sends if it may be repeated and nothing is known of an earlier
// execution.
func (x *exchange) beginHedge() {
	h := x.forwarder.config.Hedger
	if h == nil {
		return
	}
	r := hedger.Request{
		Service: x.service.Name, Route: x.route.Name, Account: x.accountName(), PromptTokens: int64(x.request.PromptTokens),
	}
	delay := h.Begin(time.Now(), &r)
	if !x.route.AllowsReexecution() || x.route.Attempts < 2 || x.request.Delegated || x.request.ResumeAfter != "" || x.executions > 0 {
		return
	}
	x.hedge = &hedge{request: r, delay: delay, sends: 1}
}

// hedgedAttempt sends the request to an upstream, and to a second one if the first is slow. The first valid response is
// forwarded and the other send is cancelled. All state of the exchange is used by this goroutine only; the sends
// have one goroutine each.
func (x *exchange) hedgedAttempt(ctx context.Context, choice balancer.Choice) *failure {
	results := make(chan *hedgedSend, 2)
	first := x.startSend(ctx, choice, false, results)
	pending := []*hedgedSend{first}
	var expired <-chan time.Time
	if x.hedge.delay > 0 {
		timer := time.NewTimer(x.hedge.delay)
		defer timer.Stop()
		expired = timer.C
	}
	for {
		select {
		case <-expired:
			expired = nil
			if second, ok := x.chooseSecond(&choice); ok {
				x.hedge.sends++
				x.retriesGranted++
				pending = append(pending, x.startSend(ctx, second, true, results))
			}
		case s := <-results:
			pending = slices.DeleteFunc(pending, func(p *hedgedSend) bool { return p == s })
			if s.valid {
				x.recordFirstByte(first, s)
				for _, loser := range pending {
					x.endLoser(ctx, s, loser, results)
				}
			}
			failed := x.conclude(ctx, &s.choice, s.reply)
			s.cancel()
			if failed == nil || s.valid || len(pending) == 0 {
				return failed
			}
			x.recordFailedSend(s, failed)
		}
	}
}

// startSend sends the request in a goroutine, which reads the response until it is known to be valid.
func (x *exchange) startSend(ctx context.Context, choice balancer.Choice, second bool, results chan<- *hedgedSend) *hedgedSend {
	ctx, cancel := context.WithCancel(ctx)
	s := &hedgedSend{reply: reply{sentAt: time.Now()}, choice: choice, cancel: cancel, second: second}
	call, sender := x.upstreamCall(choice), x.forwarder.config.Sender
	s.err = x.assignSoftware(ctx, &choice.Upstream)
	go func() {
		if s.err == nil {
			s.response, s.err = sender.Send(ctx, choice.Upstream.Address, call)
		}
		s.receivedAt = time.Now()
		if s.err == nil {
			s.valid = readAhead(s.response)
		}
		s.readyAt = time.Now()
		results <- s
	}()
	return s
}

// chooseSecond decides about a second send and chooses its upstream. The request is counted there and in the budgets.
func (x *exchange) chooseSecond(first *balancer.Choice) (balancer.Choice, bool) {
	f, r, now := x.forwarder.config, &x.hedge.request, time.Now()
	reason := f.Hedger.Decide(now, r, hedger.State{
		TimeLeft: x.deadline.Sub(now), Executions: x.executions + 1, Attempts: x.route.Attempts, Suspected: x.isSuspected(now),
	})
	var choice balancer.Choice
	if reason == hedger.Allowed {
		choice, reason = x.takeSecond(now, first)
		if reason != hedger.Allowed {
			f.Hedger.Return(now, r)
		}
	}
	if reason != hedger.Allowed {
		f.Recorder.Count("hedger.refused."+reason.String(), 1)
		return choice, false
	}
	f.Recorder.Count("hedger.sent", 1)
	return choice, true
}

// takeSecond takes the second send from the retry budget and chooses its upstream.
func (x *exchange) takeSecond(now time.Time, first *balancer.Choice) (balancer.Choice, hedger.Reason) {
	f, target := x.forwarder.config, string(x.service.Name)
	if !f.Retries.TakeSecondSend(now, x.accountName(), target) {
		return balancer.Choice{}, hedger.RetriesUsed
	}
	q := x.query()
	q.Second, q.Exclude = true, append(slices.Clone(x.tried), first.Upstream.Name)
	if x.isAssigned && len(q.Candidates) == 1 { // the first upstream is the only one of its version
		others := x.recordedCandidates(x.permitted(f.Upstreams.Of(x.service.Name)))
		if len(others) > 1 && x.sendToSeveralVersions() {
			q.Candidates = others
		}
	}
	choice, ok := f.Balancer.Choose(now, q)
	if !ok {
		f.Retries.ReturnSecondSend(now, x.accountName(), target)
		return choice, hedger.NoUpstream
	}
	return choice, hedger.Allowed
}

// isSuspected reports whether the request or a part of its prompt is suspected of crashing upstreams.
func (x *exchange) isSuspected(now time.Time) bool {
	quarantine := x.forwarder.config.Quarantine
	if x.permit != nil {
		return true
	}
	if quarantine.Empty() {
		return false
	}
	if quarantine.Check(now, x.digest()) != quarantiner.Clear {
		return true
	}
	_, verdict := quarantine.CheckParts(now, x.sharedParts())
	return verdict != quarantiner.Clear
}

// recordFirstByte records how long the request took at its first upstream, or how long it has waited there until the
// second one responded.
func (x *exchange) recordFirstByte(first, winner *hedgedSend) {
	if winner.response.Status < http.StatusMultipleChoices {
		x.forwarder.config.Hedger.Observe(winner.readyAt, &x.hedge.request, winner.readyAt.Sub(first.sentAt))
	}
	switch {
	case winner.second:
		x.forwarder.config.Recorder.Count("hedger.won", 1)
	case x.hedge.sends > 1:
		x.forwarder.config.Recorder.Count("hedger.lost", 1)
	}
}

// endLoser cancels a send whose response is not used. It counts as an execution. Its upstream has not failed, unless its
// connection had failed before that.
func (x *exchange) endLoser(ctx context.Context, winner, loser *hedgedSend, results <-chan *hedgedSend) {
	f := x.forwarder.config
	f.Recorder.Count("hedger.lost_tokens", x.hedge.request.PromptTokens)
	f.Recorder.Event(recorder.SecondSendEnded, "id", x.request.ID, "service", x.service.Name, "winner", winner.choice.Upstream.Name,
		"loser", loser.choice.Upstream.Name, "tokens", x.hedge.request.PromptTokens, "waited", winner.readyAt.Sub(loser.sentAt))
	select {
	case <-results: // it has ended as well
		if !loser.valid {
			x.recordFailedSend(loser, x.conclude(ctx, &loser.choice, loser.reply))
			loser.cancel()
			return
		}
		x.forwarder.recordHeader(&loser.choice.Upstream, loser.reply, true)
		f.Balancer.ResponseStarted(loser.receivedAt, &loser.choice, startOf(loser.response))
		loser.cancel()
		loser.response.Close()
	default:
		loser.cancel()
		go x.forwarder.discard(results)
	}
	x.sends++
	x.executions++
	f.Balancer.End(time.Now(), &loser.choice, balancer.Result{
		Outcome: balancer.Abandoned, Overtaken: x.route.Repeatability == resolver.Stream,
	})
}

// discard closes the response of a cancelled send that arrives after all. What its header says about
// the upstream is recorded.
func (f *Forwarder) discard(results <-chan *hedgedSend) {
	s := <-results
	if s.response != nil {
		f.recordHeader(&s.choice.Upstream, s.reply, true)
		s.response.Close()
	}
}

// recordFailedSend records that one of two sends has failed. Its upstream is not tried again.
func (x *exchange) recordFailedSend(s *hedgedSend, failed *failure) {
	x.recordFailedAttempt(s.choice.Upstream.Name, x.hedge.sends, s.sentAt, failed)
	x.tried = append(x.tried, s.choice.Upstream.Name)
}

// readAhead reads a response until it is known whether it can be forwarded, and reports that. What was read
// is read again from its body.
func readAhead(response *connector.Response) bool {
	switch {
	case response.Metadata.NotRun, response.Status == http.StatusMisdirectedRequest, response.Status >= http.StatusInternalServerError:
		return false
	case response.Status < http.StatusMultipleChoices && (!response.Metadata.Signed || response.Header.Get("Content-Encoding") != ""):
		return false
	}
	if isStream(response) {
		return readAheadStream(response)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, freeResponseBytes))
	if err != nil {
		response.Body = failedReader{err}
		return false
	}
	if len(data) == freeResponseBytes {
		response.Body = io.MultiReader(bytes.NewReader(data), response.Body)
		return true // the rest is read once the other send has ended, so that two do not occupy memory
	}
	response.Body = bytes.NewReader(data)
	return framer.Check(response.Framing, response.Header, data) == nil
}

// readAheadStream is readAhead for a stream. Nothing is left of a stream that is not valid: the events of another
// upstream may follow.
func readAheadStream(response *connector.Response) bool {
	data, err := readFirstEvent(response.Body)
	if errors.Is(err, io.EOF) {
		complete := framer.CompleteEvents(data)
		if err = framer.CheckStreamEnd(response.Framing, complete > 0, data[complete:]); err == nil {
			response.Body = bytes.NewReader(data)
			return true
		}
	}
	if err != nil {
		response.Body = failedReader{err}
		return false
	}
	response.Body = io.MultiReader(bytes.NewReader(data), response.Body)
	return true
}

// readFirstEvent reads a stream until it contains an event. Comments are not events.
func readFirstEvent(body io.Reader) ([]byte, error) {
	var data []byte
	buffer := make([]byte, streamBufferBytes)
	for {
		n, err := body.Read(buffer)
		data = append(data, buffer[:n]...)
		// The complete part ends with a blank line, so whatever is in it that is no comment is a complete event.
		if framer.EndsInsideEvent(data[:framer.CompleteEvents(data)]) || len(data) > maxUncountedBytes {
			return data, nil
		}
		if err != nil {
			return data, err
		}
	}
}

// failedReader returns the error that has ended a body.
type failedReader struct{ err error }

func (r failedReader) Read([]byte) (int, error) { return 0, r.err }
