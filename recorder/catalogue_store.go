package recorder

// Events of the store have the numbers 4000 to 4999.
const (
	// StoreEndpointFailed is logged when calls fail over to another address of the store.
	StoreEndpointFailed Code = 4001
	// StoreOutcomeUnknown is logged when the outcome of a write cannot be determined.
	StoreOutcomeUnknown Code = 4002
	// StoreWatchLost is logged when a watch ends and is restarted.
	StoreWatchLost Code = 4003
	// StoreLost is logged when the store does not respond to the watch of a prefix.
	StoreLost Code = 4101
	// StoreRegained is logged when the store is reachable again.
	StoreRegained Code = 4102
	// HistoryLost is logged when the store has discarded changes before they were received.
	HistoryLost Code = 4103
	// StoreRestored is logged when the store was restored from an older copy.
	StoreRestored Code = 4104
)

var _ = declare(eventNames{
	StoreEndpointFailed: "store_endpoint_failed",
	StoreOutcomeUnknown: "store_outcome_unknown",
	StoreWatchLost:      "store_watch_lost",
	StoreLost:           "store_lost",
	StoreRegained:       "store_regained",
	HistoryLost:         "history_lost",
	StoreRestored:       "store_restored",
})
