package certifier

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"os"
	"sync"
	"time"

	"laburnumline/recorder"
)

// Files are the paths of one set of credentials.
type Files struct {
	// Name identifies the set in events and gauges.
	Name        string
	Certificate string
	Key         string
	// Authorities may be empty if no peer is verified.
	Authorities string
}

// Reloader holds credentials and replaces them when their files change.
type Reloader struct {
	files    Files
	recorder *recorder.Recorder

	mu sync.RWMutex
	// contents are those of the certificate, key and authorities files from which
	// current was loaded.
	contents [3][]byte
	current  *Credentials
}

// NewReloader returns a Reloader that has read the files once.
func NewReloader(f Files, r *recorder.Recorder) (*Reloader, error) {
	l := &Reloader{files: f, recorder: r}
	if _, err := l.load(); err != nil {
		return nil, err
	}
	return l, nil
}

// Credentials returns the newest usable credentials.
func (l *Reloader) Credentials() *Credentials {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.current
}

// ServerTLS returns a configuration for an HTTP server. Its handshakes use the
// newest usable credentials.
func (l *Reloader) ServerTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &l.Credentials().Certificate, nil
		},
	}
}

// Run reads the files once per period until ctx ends.
func (l *Reloader) Run(ctx context.Context, period time.Duration) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.Reload()
		}
	}
}

// Reload reads the files. If they cannot be used, the credentials stay unchanged.
func (l *Reloader) Reload() {
	changed, err := l.load()
	if err != nil {
		l.recorder.Event(recorder.KeysUnusable, "name", l.files.Name, "err", err.Error())
	} else if changed {
		l.recorder.Event(recorder.KeysReloaded, "name", l.files.Name)
	}
	leaf := l.Credentials().Certificate.Leaf
	l.recorder.SetGauge("tls."+l.files.Name+".expires_seconds", int64(time.Until(leaf.NotAfter).Seconds()))
}

func (l *Reloader) load() (changed bool, err error) {
	var contents [3][]byte
	for i, path := range []string{l.files.Certificate, l.files.Key, l.files.Authorities} {
		if path == "" {
			continue
		}
		if contents[i], err = os.ReadFile(path); err != nil {
			return false, fmt.Errorf("read %s keys: %w", l.files.Name, err)
		}
	}
	if l.unchanged(contents) {
		return false, nil
	}
	loaded, err := NewCredentials(KeyPair{Certificate: contents[0], Key: contents[1]}, contents[2])
	if err != nil {
		return false, fmt.Errorf("use %s keys: %w", l.files.Name, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.contents, l.current = contents, loaded
	return true, nil
}

func (l *Reloader) unchanged(contents [3][]byte) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	for i := range contents {
		if !bytes.Equal(contents[i], l.contents[i]) {
			return false
		}
	}
	return true
}
