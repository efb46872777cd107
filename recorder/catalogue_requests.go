package recorder

// Events of requests and upstreams have the numbers 2000 to 2999.
const (
	// UpstreamEjected is logged when an upstream gets no requests for a time because of failures.
	UpstreamEjected Code = 2001
	// UpstreamRecovered is logged when an ejected upstream responds again.
	UpstreamRecovered Code = 2002
	// RequestSuspected is logged when a request becomes a suspect, because an upstream crashed
	// while it ran the request.
	RequestSuspected Code = 2101
	// RequestQuarantined is logged when a request has crashed the maximum number of upstreams.
	RequestQuarantined Code = 2102
	// SuspectsNotShared is logged when other daemons were not informed of a crash in time.
	SuspectsNotShared Code = 2103
	// UpstreamCrashed is logged for each request whose connection was lost at an upstream that
	// accepts no connection afterwards.
	UpstreamCrashed Code = 2104
	// PartQuarantined is logged by the daemon that quarantines a prompt part first.
	PartQuarantined Code = 2105
	// PartCleared is logged when a request with a quarantined prompt part has been served.
	PartCleared Code = 2106
	// QuarantineNotStored is logged when a quarantine cannot be written to the store.
	QuarantineNotStored Code = 2107
	// QuarantineNotLoaded is logged when a starting daemon cannot load the quarantines.
	QuarantineNotLoaded Code = 2108
	// UpstreamLimited is logged when an upstream states another request limit than before, or none
	// any more.
	UpstreamLimited Code = 2003
	// UpstreamPaused is logged when an upstream asks for a pause after it has rejected a request.
	UpstreamPaused Code = 2004
	// OrderFailed is logged when an engine fails to execute an order, such as to load a model.
	OrderFailed Code = 2201
	// UpstreamListed is logged when the entry of an upstream appears or changes its state.
	UpstreamListed Code = 2301
	// UpstreamGone is logged when an upstream no longer gets requests.
	UpstreamGone Code = 2302
	// EntrySkipped is logged when an entry of the store cannot be decoded.
	EntrySkipped Code = 2303
	// UpstreamLeaving is logged when an upstream states in a response that it leaves.
	UpstreamLeaving Code = 2304
	// ServiceBrittle is logged when an upstream states how many requests it can reject, for the first
	// time or another number than before.
	ServiceBrittle Code = 2005
	// UpstreamSpeed is logged when an upstream is found to be slower or faster than its service, or no
	// longer.
	UpstreamSpeed Code = 2011
	// ReportDistrusted is logged when the slowdowns that an upstream reports begin or cease to
	// contradict its response times.
	ReportDistrusted Code = 2012
	// SecondSendsPaused is logged when second sends of slow requests are stopped for a service, because
	// it is slow or full as a whole, and when they are resumed.
	SecondSendsPaused Code = 2013
	// ServiceReachability is logged when this daemon reaches no upstream of a service any more, or
	// one again.
	ServiceReachability Code = 2305
	// EntryOutdated is logged when an entry of an upstream is older than the known one.
	EntryOutdated Code = 2306
	// RequestRefused is logged when a request gets a refusal instead of an upstream's response.
	RequestRefused Code = 2401
	// AttemptFailed is logged when one attempt at an upstream has failed.
	AttemptFailed Code = 2402
	// AnswerBroken is logged when a response ends early after a part of it has been forwarded.
	AnswerBroken Code = 2403
	// StreamResumed is logged when a stream resumes at another upstream.
	StreamResumed Code = 2404
	// LingerNotSet is logged when a broken response to a caller of HTTP/1.0 cannot be marked by a
	// reset of its connection.
	LingerNotSet Code = 2405
	// StreamContinued is logged for the first event that follows those of an earlier attempt of
	// the daemon or of the caller.
	StreamContinued Code = 2406
	// StreamMessageFailed is logged when a message about the software version of a stream cannot be
	// sent or read.
	StreamMessageFailed Code = 2407
	// SoftwareNotStored is logged when the software versions of services cannot be loaded from the
	// store or written to it. The daemon tries again.
	SoftwareNotStored Code = 2408
	// DelegationFailed is logged when a request cannot be sent to another daemon while this one
	// reaches no upstream of its service, or when its response is lost.
	DelegationFailed Code = 2409
	// SecondSendEnded is logged when one of the two sends of a request has delivered its response and
	// the other one is cancelled.
	SecondSendEnded Code = 2410
	// RetryBudgetUsed is logged at most once per second and target while attempts are retried.
	RetryBudgetUsed Code = 2411
	// RetryUnbudgeted is logged when a request reaches another upstream without a retry from the budget.
	RetryUnbudgeted Code = 2412
	// SoftwareUncertain is logged when software versions that this daemon does not know may have
	// begun streams of a service: the stored history does not contain the service, is older than a
	// restore of the store, was lost, or cannot be read.
	SoftwareUncertain Code = 2420
	// SoftwareRecorded is logged when a listed software version is known to be stored, so that
	// streams may begin there.
	SoftwareRecorded Code = 2421
	// StreamArchiveFailed is logged when the stored records of streams cannot be read, written or deleted.
	StreamArchiveFailed Code = 2422
	// StreamArchiveRead is logged when the stored records of streams have been read, because a caller
	// resumes a stream that no daemon knows.
	StreamArchiveRead Code = 2423
	// StreamRecovered is logged when the version of a stream that no daemon knows was found in the store.
	StreamRecovered Code = 2424
	// UpstreamCold is logged when an upstream begins or ceases to count as cold.
	UpstreamCold Code = 2501
	// WarmupSkipped is logged when the warm-up in an upstream's entry cannot be read. The last one
	// stays in force.
	WarmupSkipped Code = 2502
)

var _ = declare(eventNames{
	UpstreamEjected:     "upstream_ejected",
	UpstreamRecovered:   "upstream_recovered",
	UpstreamLimited:     "upstream_limited",
	UpstreamPaused:      "upstream_paused",
	RequestSuspected:    "request_suspected",
	RequestQuarantined:  "request_quarantined",
	SuspectsNotShared:   "suspects_not_shared",
	UpstreamCrashed:     "upstream_crashed",
	PartQuarantined:     "part_quarantined",
	PartCleared:         "part_cleared",
	QuarantineNotStored: "quarantine_not_stored",
	QuarantineNotLoaded: "quarantine_not_loaded",
	OrderFailed:         "order_failed",
	UpstreamListed:      "upstream_listed",
	UpstreamGone:        "upstream_gone",
	EntrySkipped:        "entry_skipped",
	UpstreamLeaving:     "upstream_leaving",
	EntryOutdated:       "entry_outdated",
	ServiceReachability: "service_reachability",
	ServiceBrittle:      "service_brittle",
	UpstreamSpeed:       "upstream_speed",
	SecondSendsPaused:   "second_sends_paused",
	SecondSendEnded:     "second_send_ended",
	RetryBudgetUsed:     "retry_budget_used",
	RetryUnbudgeted:     "retry_unbudgeted",
	ReportDistrusted:    "report_distrusted",
	RequestRefused:      "request_refused",
	AttemptFailed:       "attempt_failed",
	AnswerBroken:        "answer_broken",
	StreamResumed:       "stream_resumed",
	LingerNotSet:        "linger_not_set",
	StreamContinued:     "stream_continued",
	StreamMessageFailed: "stream_message_failed",
	SoftwareNotStored:   "software_not_stored",
	StreamArchiveFailed: "stream_archive_failed",
	StreamArchiveRead:   "stream_archive_read",
	StreamRecovered:     "stream_recovered",
	DelegationFailed:    "delegation_failed",
	SoftwareUncertain:   "software_uncertain",
	SoftwareRecorded:    "software_recorded",
	UpstreamCold:        "upstream_cold",
	WarmupSkipped:       "warmup_skipped",
})
