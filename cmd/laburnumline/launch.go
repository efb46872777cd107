package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"runtime/debug"
	"time"

	"k8s.io/klog/v2"

	"laburnumline/connector"
	"laburnumline/launcher"
	"laburnumline/platform"
	"laburnumline/recorder"
)

const (
	// storeConnectTimeout bounds the opening of a connection to the store, which
	// answers in 4 ms.
	storeConnectTimeout = 500 * time.Millisecond
	// storeSilenceTimeout is after how long unacknowledged bytes fail a connection to the store.
	storeSilenceTimeout = time.Second
	// storeCallTimeout bounds a call; a slow store takes up to 100 times as long as usual.
	storeCallTimeout = 1500 * time.Millisecond
	// maxPollTimeout and shortestWatchTime bound how long a watch waits. A store that has
	// dropped its history tells a waiting watch nothing, and a change has to be in force
	// within 2 s. A change ends all watches at once, and they must not end together again.
	maxPollTimeout = 1500 * time.Millisecond
	minPollTimeout = 700 * time.Millisecond

	// gcPercent lets the heap grow before it is collected: processor time is
	// scarcer than memory, which collectShare bounds.
	gcPercent = 400
	// softMemoryFraction is the part of the memory limit from which the heap is collected more often.
	softMemoryFraction = 0.6
)

// randomPollTimeout draws how long a watch waits.
func randomPollTimeout() time.Duration {
	return minPollTimeout + rand.N(maxPollTimeout-minPollTimeout)
}

type launchCommand struct {
	noopCommander
	Settings string `long:"settings" description:"settings file of the platform; the default is the file that the environment names"`
	Metrics  uint16 `long:"metrics" default:"0" description:"port of the counters; 0 for none"`
}

func (k *launchCommand) run(e *environment) error {
	path := k.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	if path == "" {
		return usageErrorf("name the settings file with --settings or in the environment as %s", platform.SettingsVariable)
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return usageError{err}
	}
	defer klog.Flush()
	debug.SetGCPercent(gcPercent)
	if settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(softMemoryFraction * float64(settings.MemoryLimit)))
	}
	store := platform.NewStore(platform.StoreConfig{
		Address: settings.StoreAddress.String(), Dial: connector.Dialer(storeConnectTimeout, storeSilenceTimeout),
		CallTimeout: storeCallTimeout, PollTimeout: randomPollTimeout,
	})
	rec := recorder.New()
	config := launcher.Config{Settings: settings, Adapter: platform.Adapter(store), Recorder: rec}
	if k.Metrics > 0 {
		config.MetricsAddress = netip.AddrPortFrom(settings.FrontendAddress.Addr(), k.Metrics)
	}
	go watchSettings(e.ctx, path, settings, store, rec)
	if err := launcher.New(config).Run(e.ctx); err != nil {
		return fmt.Errorf("daemon %s: %w", settings.Name, err)
	}
	return nil
}
