package recorder

// Events of the daemon have the numbers 6000 to 6999.
const (
	DaemonStarted Code = 6001
	DaemonStopped Code = 6002
	DaemonReady   Code = 6003
	DaemonFailed  Code = 6004
	// DaemonStopping is logged when the daemon receives the signal to stop.
	DaemonStopping Code = 6005
	// SettingsChanged is logged when a changed settings file has been read.
	SettingsChanged Code = 6006
	// SettingsSkipped is logged when a changed settings file cannot be read.
	SettingsSkipped Code = 6007
	// ReadinessChanged is logged when the daemon becomes ready or stops being ready.
	ReadinessChanged Code = 6008
	// FrontendLimitsChanged is logged when a configuration changes the limits of callers' connections.
	FrontendLimitsChanged Code = 6009
	// AddressInUse is logged when a part of the daemon cannot listen because its address is in use.
	AddressInUse Code = 6010
	// MetricsFailed is logged when the metrics cannot be served.
	MetricsFailed Code = 6011
	// DaemonOverloaded is logged when the daemon begins or ends to refuse requests because it lacks a
	// resource.
	DaemonOverloaded Code = 6201
	// HTTPServerError is logged for each error message of an HTTP server, such as a failed TLS
	// handshake.
	HTTPServerError Code = 6101
)

var _ = declare(eventNames{
	DaemonStarted: "daemon_started",
	DaemonStopped: "daemon_stopped",
	DaemonReady:   "daemon_ready",
	DaemonFailed:  "daemon_failed",

	DaemonStopping:   "daemon_stopping",
	SettingsChanged:  "settings_changed",
	SettingsSkipped:  "settings_skipped",
	ReadinessChanged: "readiness_changed",

	FrontendLimitsChanged: "frontend_limits_changed",
	AddressInUse:          "address_in_use",
	MetricsFailed:         "metrics_failed",

	DaemonOverloaded: "daemon_overloaded",

	HTTPServerError: "http_server_error",
})
