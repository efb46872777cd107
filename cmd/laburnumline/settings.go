package main

import (
	"context"
	"errors"
	"io/fs"
	"os"
	"reflect"
	"time"

	"laburnumline/launcher"
	"laburnumline/platform"
	"laburnumline/recorder"
	"laburnumline/sleeper"
)

// settingsPollInterval is the interval at which the modification time of the settings file
// is checked. The file may change without a signal.
const settingsPollInterval = time.Second

const (
	// settingsWriteTime is how long a settings file may be invalid when the daemon starts, because it is being written.
	settingsWriteTime = time.Second
	// settingsRetryInterval is the time between two reads of an invalid file.
	settingsRetryInterval = 50 * time.Millisecond
)

// awaitSettings reads the settings file. An invalid file is read again until settingsWriteTime has passed or ctx ends.
func awaitSettings(ctx context.Context, path string, rec *recorder.Recorder) (launcher.Settings, error) {
	for deadline := time.Now().Add(settingsWriteTime); ; {
		settings, err := platform.LoadSettings(path)
		if err == nil || errors.Is(err, fs.ErrNotExist) || time.Now().After(deadline) {
			return settings, err
		}
		rec.Event(recorder.SettingsSkipped, "file", path, "err", err)
		if sleeper.Sleep(ctx, settingsRetryInterval) != nil {
			return settings, err
		}
	}
}

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
