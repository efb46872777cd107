package recorder

// Events of the store have the numbers 4000 to 4999.
const (
	// StoreEndpointFailed is logged when calls move to another address of the store.
	StoreEndpointFailed Code = 4001
	// StoreOutcomeUnknown is logged when the outcome of a write could not be found out.
	StoreOutcomeUnknown Code = 4002
	// StoreWatchLost is logged when a watch ends and is started again.
	StoreWatchLost Code = 4003
	// StoreLost is logged when a followed prefix gets no answer from the store.
	StoreLost Code = 4101
	// StoreRegained is logged when the store answers again.
	StoreRegained Code = 4102
	// HistoryLost is logged when the store has discarded changes that were not seen yet.
	HistoryLost Code = 4103
)

var _ = declare(eventNames{
	StoreEndpointFailed: "store_endpoint_failed",
	StoreOutcomeUnknown: "store_outcome_unknown",
	StoreWatchLost:      "store_watch_lost",
	StoreLost:           "store_lost",
	StoreRegained:       "store_regained",
	HistoryLost:         "history_lost",
})
