package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"runtime/debug"
	"time"

	"k8s.io/klog/v2"

	"laburnumline/connector"
	"laburnumline/hedger"
	"laburnumline/launcher"
	"laburnumline/platform"
	"laburnumline/recorder"
)

const (
	// storeConnectTimeout limits the opening of a connection to the store, which normally
	// responds in 4 ms.
	storeConnectTimeout = 500 * time.Millisecond
	// storeSilenceTimeout is how long bytes may stay unacknowledged before a connection to
	// the store fails.
	storeSilenceTimeout = time.Second
	// storeCallTimeout limits a call. A slow store takes up to 100 times as long as usual.
	storeCallTimeout = 1500 * time.Millisecond
	// storeMaxHeaderBytes and storeMaxBodyBytes limit a response of the store, whose pages hold some values of up to 1 MB.
	storeMaxHeaderBytes = 64 << 10
	storeMaxBodyBytes   = 16 << 20
	// minPollTimeout and maxPollTimeout limit the duration of one long poll of a watch. A
	// pending poll receives nothing if the store loses its history, and a change has to be
	// in force within 2 s; maxPollTimeout stays below that. Durations are random: a change
	// ends the polls of all daemons at once, and equal durations would end the next ones
	// together again.
	maxPollTimeout = 1500 * time.Millisecond
	minPollTimeout = 700 * time.Millisecond

	// gcPercent is above the default of 100, because CPU time is scarcer than memory.
	// softMemoryFraction limits the memory.
	gcPercent = 400
	// softMemoryFraction is the fraction of the daemon's memory limit above which the garbage
	// collector runs more often.
	softMemoryFraction = 0.6
)

// randomPollTimeout returns a random duration for one long poll.
func randomPollTimeout() time.Duration {
	return minPollTimeout + rand.N(maxPollTimeout-minPollTimeout)
}

type launchCommand struct {
	noopCommander
	Settings string `long:"settings" description:"settings file of the platform; the default is the file that the environment names"`
	Metrics  uint16 `long:"metrics" default:"0" description:"port of the counters; 0 for none"`
	// The defaults are those of package hedger.
	HedgeShare    float64 `long:"hedge-share" env:"LABURNUMLINE_HEDGE_SHARE" default:"0" description:"share of requests and prompt tokens that may be sent to a second upstream when they are slow, at most 0.2; 0 for none"`
	HedgeQuantile float64 `long:"hedge-quantile" env:"LABURNUMLINE_HEDGE_QUANTILE" default:"0.95" description:"quantile of the time to first byte after which a request is slow, above 0.5 and below 1"`
}

func (*launchCommand) runsDaemon() {}

func (cmd *launchCommand) checkHedging() error {
	if !hedger.ShareValid(cmd.HedgeShare) {
		return usageErrorf("--hedge-share (LABURNUMLINE_HEDGE_SHARE) is %v, allowed: 0 to %v", cmd.HedgeShare, hedger.MaxShare)
	}
	if !hedger.QuantileValid(cmd.HedgeQuantile) {
		return usageErrorf("--hedge-quantile (LABURNUMLINE_HEDGE_QUANTILE) is %v, allowed: above 0.5 and below 1", cmd.HedgeQuantile)
	}
	return nil
}

func (cmd *launchCommand) run(e *environment) error {
	if err := cmd.checkHedging(); err != nil {
		return err
	}
	path := cmd.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	if path == "" {
		return usageErrorf("name the settings file with --settings or in the environment as %s", platform.SettingsVariable)
	}
	defer klog.Flush()
	rec := recorder.New()
	settings, err := awaitSettings(e.ctx, path, rec)
	if err != nil {
		return usageError{err}
	}
	debug.SetGCPercent(gcPercent)
	if settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(softMemoryFraction * float64(settings.MemoryLimit)))
	}
	store := platform.NewStore(platform.StoreConfig{
		Address: settings.StoreAddress.String(), Dial: connector.Dialer(storeConnectTimeout, storeSilenceTimeout),
		CallTimeout: storeCallTimeout, PollTimeout: randomPollTimeout, MaxHeaderBytes: storeMaxHeaderBytes, MaxBodyBytes: storeMaxBodyBytes,
		Restored: func(from, to int64) { rec.Event(recorder.StoreRestored, "from", from, "era", to) },
	})
	config := launcher.Config{Settings: settings, Adapter: platform.Adapter(store), Recorder: rec, HedgeShare: cmd.HedgeShare, HedgeQuantile: cmd.HedgeQuantile}
	if cmd.Metrics > 0 {
		config.MetricsAddress = netip.AddrPortFrom(settings.FrontendAddress.Addr(), cmd.Metrics)
	}
	// A stopping daemon still returns its shares of the balances to the store, whose address may have changed.
	watching, stopWatching := context.WithCancel(context.WithoutCancel(e.ctx))
	defer stopWatching()
	go watchSettings(watching, e.hangup, path, settings, store, rec)
	if err := launcher.New(config).Run(e.ctx); err != nil {
		return fmt.Errorf("daemon %s: %w", settings.Name, err)
	}
	return nil
}
