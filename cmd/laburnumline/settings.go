package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"laburnumline/launcher"
	"laburnumline/platform"
	"laburnumline/recorder"
)

// settingsInterval is the time between two looks at the settings file, which may
// change without a signal.
const settingsInterval = time.Second

// watchSettings applies changed settings until ctx ends. The address of the store is
// the only one that a running daemon follows; others hold from the next start.
func watchSettings(ctx context.Context, path string, last launcher.Settings, store *platform.Store, rec *recorder.Recorder) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	changed := modified(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		case <-ticker.C:
			now := modified(path)
			if now.Equal(changed) {
				continue
			}
			changed = now
		}
		next, err := platform.LoadSettings(path)
		if err != nil {
			rec.Event(recorder.SettingsSkipped, "file", path, "err", err)
			continue
		}
		rec.Event(recorder.SettingsChanged, "file", path, "store", next.StoreAddress, "same", next == last)
		store.SetAddress(next.StoreAddress.String())
		last = next
	}
}

// modified returns when a file was changed last, or the zero time when it cannot be
// read, which the next load reports.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
