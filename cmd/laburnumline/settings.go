package main

import (
	"context"
	"os"
	"reflect"
	"time"

	"laburnumline/launcher"
	"laburnumline/platform"
	"laburnumline/recorder"
)

// settingsPollInterval is the interval at which the modification time of the settings file
// is checked. The file may change without a signal.
const settingsPollInterval = time.Second

// watchSettings reloads the settings file on each signal from hangup and after each modification until ctx
// ends. A running daemon applies only a new address of the store. Other settings take
// effect at the next start.
func watchSettings(ctx context.Context, hangup <-chan os.Signal, path string, current launcher.Settings, store *platform.Store, rec *recorder.Recorder) {
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
		rec.Event(recorder.SettingsChanged, "file", path, "store", next.StoreAddress, "same", reflect.DeepEqual(next, current))
		store.SetAddress(next.StoreAddress.String())
		current = next
	}
}

// modificationTime returns the modification time of a file, or the zero time if the file
// cannot be read. The next load then reports the error.
func modificationTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
