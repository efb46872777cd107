package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"runtime/debug"
	"sync/atomic"
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
	// storeWatchTime is how long a watch of a small fleet waits. A store that has
	// dropped its history tells a waiting watch nothing, and a change has to be in
	// force within 2 s. In a larger fleet some watch ends soon enough, and its daemon
	// tells the others, so each waits up to watchPerMember for each daemon, and up to
	// longestWatchTime. A change ends all watches at once, so the time is drawn from
	// shortestWatchTime on: otherwise all would end together again.
	storeWatchTime    = 1500 * time.Millisecond
	shortestWatchTime = 700 * time.Millisecond
	watchPerMember    = 100 * time.Millisecond
	longestWatchTime  = 10 * time.Second

	// collectPercent lets the heap grow before it is collected: processor time is
	// scarcer than memory, which collectShare bounds.
	collectPercent = 400
	// collectShare is the part of the memory limit from which the heap is collected more often.
	collectShare = 0.6
)

// watchTime draws how long a watch waits in a fleet of so many daemons.
func watchTime(members int) time.Duration {
	longest := min(max(time.Duration(members)*watchPerMember, storeWatchTime), longestWatchTime)
	return shortestWatchTime + rand.N(longest-shortestWatchTime)
}

// members is the number of daemons in the fleet, as far as is known.
func members(d *launcher.Daemon) int {
	if d == nil {
		return 1
	}
	return d.Members()
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
	if settings.Memory > 0 {
		debug.SetMemoryLimit(int64(collectShare * float64(settings.Memory)))
	}
	var daemon atomic.Pointer[launcher.Daemon]
	store := platform.NewStore(platform.StoreConfig{
		Address: settings.Store.String(), Dial: connector.Dialer(storeConnectTime, storeSilenceTime),
		CallTime: storeCallTime, WatchTime: func() time.Duration { return watchTime(members(daemon.Load())) },
	})
	rec := recorder.New()
	config := launcher.Config{Settings: settings, Adapter: platform.Adapter(store), Recorder: rec}
	if k.Metrics > 0 {
		config.Metrics = netip.AddrPortFrom(settings.Front.Addr(), k.Metrics)
	}
	go watchSettings(e.ctx, path, settings, store, rec)
	daemon.Store(launcher.New(config))
	if err := daemon.Load().Run(e.ctx); err != nil {
		return fmt.Errorf("daemon %s: %w", settings.Name, err)
	}
	return nil
}
