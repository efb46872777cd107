package recorder

// Events of requests and upstreams have the numbers 2000 to 2999.
const (
	// UpstreamEjected is logged when failures keep an upstream from getting work.
	UpstreamEjected Code = 2001
	// UpstreamRecovered is logged when an ejected upstream answers again.
	UpstreamRecovered Code = 2002
	// RequestSuspected is logged when a crash blames a request.
	RequestSuspected Code = 2101
	// RequestQuarantined is logged when a request reached the bound of lost upstreams.
	RequestQuarantined Code = 2102
	// SuspectsNotShared is logged when daemons were not told of a crash in time.
	SuspectsNotShared Code = 2103
	// OrderFailed is logged when an order to an engine fails.
	OrderFailed Code = 2201
	// UpstreamListed is logged when an entry of an upstream appears or changes its state.
	UpstreamListed Code = 2301
	// UpstreamGone is logged when an upstream gets no requests any more.
	UpstreamGone Code = 2302
	// EntrySkipped is logged when an entry of the store cannot be read.
	EntrySkipped Code = 2303
	// RequestRefused is logged when a request gets no answer of an upstream.
	RequestRefused Code = 2401
	// AttemptFailed is logged when one attempt at an upstream failed.
	AttemptFailed Code = 2402
	// AnswerBroken is logged when an answer ended early after a part had been passed on.
	AnswerBroken Code = 2403
	// StreamResumed is logged when a stream goes on at another upstream.
	StreamResumed Code = 2404
)

var _ = declare(eventNames{
	UpstreamEjected:    "upstream_ejected",
	UpstreamRecovered:  "upstream_recovered",
	RequestSuspected:   "request_suspected",
	RequestQuarantined: "request_quarantined",
	SuspectsNotShared:  "suspects_not_shared",
	OrderFailed:        "order_failed",
	UpstreamListed:     "upstream_listed",
	UpstreamGone:       "upstream_gone",
	EntrySkipped:       "entry_skipped",
	RequestRefused:     "request_refused",
	AttemptFailed:      "attempt_failed",
	AnswerBroken:       "answer_broken",
	StreamResumed:      "stream_resumed",
})
