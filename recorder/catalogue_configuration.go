package recorder

// Events of claims, configuration and administration have the numbers 3000 to 3999.
const (
	// ClaimOutcomeUnknown is logged when it cannot be determined whether a claimed request has
	// run.
	ClaimOutcomeUnknown Code = 3001
	// ClaimSuperseded is logged when the outcome of a claimed request cannot be stored because
	// the store already has another decision.
	ClaimSuperseded Code = 3002
	// ClaimResolved is logged when an operator has decided an unknown outcome.
	ClaimResolved Code = 3003
	// RelayStarted is logged when the daemon starts watching the store for its zone.
	RelayStarted Code = 3101
	// RelayStopped is logged when the daemon stops watching the store for its zone.
	RelayStopped Code = 3102
	// RelayUnreachable is logged when a relay did not respond to a request, or when this daemon
	// cannot listen for requests as a relay.
	RelayUnreachable Code = 3103
	// ChangeAccepted is the audit log entry of a change by an operator.
	ChangeAccepted Code = 3201
	// BudgetToppedUp is the audit log entry of a top-up.
	BudgetToppedUp Code = 3202
	// QuarantineLifted is the audit log entry of a lifted quarantine.
	QuarantineLifted Code = 3203
	// ConfigurationApplied is logged when a version of the configuration has taken effect.
	ConfigurationApplied Code = 3301
	// ConfigurationSkipped is logged when a version cannot be decoded, and the last valid one
	// stays in force.
	ConfigurationSkipped Code = 3302
	// ZoneEvacuated is logged when the upstreams of a zone get no requests any more.
	ZoneEvacuated Code = 3401
	// ZoneReturned is logged when the evacuation of a zone has ended.
	ZoneReturned Code = 3402
	// EvacuationSkipped is logged when the key of an evacuation cannot be read or names an unknown
	// zone. It changes nothing.
	EvacuationSkipped Code = 3403
	// EvacuationHeld is logged when a restored store lacks the key of an evacuation, which stays in
	// force for a while.
	EvacuationHeld Code = 3404
)

var _ = declare(eventNames{
	ClaimOutcomeUnknown: "claim_outcome_unknown",
	ClaimSuperseded:     "claim_superseded",
	ClaimResolved:       "claim_resolved",
	RelayStarted:        "relay_started",
	RelayStopped:        "relay_stopped",
	RelayUnreachable:    "relay_unreachable",
	ChangeAccepted:      "change_accepted",
	BudgetToppedUp:      "budget_topped_up",
	QuarantineLifted:    "quarantine_lifted",

	ConfigurationApplied: "configuration_applied",
	ConfigurationSkipped: "configuration_skipped",

	ZoneEvacuated:     "zone_evacuated",
	ZoneReturned:      "zone_returned",
	EvacuationSkipped: "evacuation_skipped",
	EvacuationHeld:    "evacuation_held",
})
