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

// settingsPollInterval is the time between two looks at the settings file, which may
// change without a signal.
const settingsPollInterval = time.Second

// watchSettings applies changed settings until ctx ends. The address of the store is
// the only one that a running daemon follows; others hold from the next start.
func watchSettings(ctx context.Context, path string, current launcher.Settings, store *platform.Store, rec *recorder.Recorder) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModified := modificationTime(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		case <-ticker.C:
			now := modificationTime(path)
			if now.Equal(lastModified) {
				continue
			}
			lastModified = now
		}
		next, err := platform.LoadSettings(path)
		if err != nil {
			rec.Event(recorder.SettingsSkipped, "file", path, "err", err)
			continue
		}
		rec.Event(recorder.SettingsChanged, "file", path, "store", next.StoreAddress, "same", next == current)
		store.SetAddress(next.StoreAddress.String())
		current = next
	}
}

// modificationTime returns when a file was changed last, or the zero time when it cannot be
// read, which the next load reports.
func modificationTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
