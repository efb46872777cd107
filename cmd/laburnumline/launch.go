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
	// storeConnectTime bounds the opening of a connection to the store, which
	// answers in 4 ms.
	storeConnectTime = 500 * time.Millisecond
	// storeSilenceTime is after how long unacknowledged bytes fail a connection to the store.
	storeSilenceTime = time.Second
	// storeCallTime bounds a call; a slow store takes up to 100 times as long as usual.
	storeCallTime = 1500 * time.Millisecond
	// storeWatchTime and shortestWatchTime bound how long a watch waits. A store that has
	// dropped its history tells a waiting watch nothing, and a change has to be in force
	// within 2 s. A change ends all watches at once, and they must not end together again.
	storeWatchTime    = 1500 * time.Millisecond
	shortestWatchTime = 700 * time.Millisecond

	// collectPercent lets the heap grow before it is collected: processor time is
	// scarcer than memory, which collectShare bounds.
	collectPercent = 400
	// collectShare is the part of the memory limit from which the heap is collected more often.
	collectShare = 0.6
)

// watchTime draws how long a watch waits.
func watchTime() time.Duration {
	return shortestWatchTime + rand.N(storeWatchTime-shortestWatchTime)
}

type launchCommand struct {
	parsed
	Settings string `long:"settings" description:"settings file of the platform; the default is the file that the environment names"`
	Metrics  uint16 `long:"metrics" default:"0" description:"port of the counters; 0 for none"`
}

func (k *launchCommand) run(e *environment) error {
	path := k.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	if path == "" {
		return usage("name the settings file with --settings or in the environment as %s", platform.SettingsVariable)
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return usageError{err}
	}
	defer klog.Flush()
	debug.SetGCPercent(collectPercent)
	if settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(collectShare * float64(settings.MemoryLimit)))
	}
	store := platform.NewStore(platform.StoreConfig{
		Address: settings.StoreAddress.String(), Dial: connector.Dialer(storeConnectTime, storeSilenceTime),
		CallTimeout: storeCallTime, PollTimeout: watchTime,
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
