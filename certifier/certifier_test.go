package certifier

import (
	"crypto/tls"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
	"laburnumline/recorder"
)

func issue(t *testing.T, a *Authority, vm contractor.VM) *Credentials {
	t.Helper()
	pair, err := a.Issue(Request{VM: vm, Lifetime: time.Hour})
	require.NoError(t, err)
	c, err := NewCredentials(pair, a.Certificate())
	require.NoError(t, err)
	return c
}

// Guards against accepting a peer without a certificate, or with a certificate of
// another authority of the same name.
func TestVerifyTrustsOnlyTheOwnAuthority(t *testing.T) {
	fleet, err := NewAuthority("fleet", time.Hour)
	require.NoError(t, err)
	other, err := NewAuthority("fleet", time.Hour)
	require.NoError(t, err)
	trusting, foreign := issue(t, fleet, "vm-1"), issue(t, other, "vm-1")

	state := tls.ConnectionState{}
	require.ErrorIs(t, trusting.Verify(state), ErrNoCertificate)
	state.PeerCertificates = append(state.PeerCertificates, issue(t, fleet, "vm-2").Certificate.Leaf)
	require.NoError(t, trusting.Verify(state))
	require.Error(t, foreign.Verify(state))

	vm, ok := VMOf(state.PeerCertificates[0])
	require.True(t, ok)
	require.Equal(t, contractor.VM("vm-2"), vm)
	_, ok = VMOf(issue(t, fleet, "").Certificate.Leaf)
	require.False(t, ok)
}

// Guards against an authority that cannot sign after its key pair was stored and
// loaded, and against loading a daemon's certificate as an authority.
func TestLoadAuthorityRestoresKeyPair(t *testing.T) {
	fleet, err := NewAuthority("fleet", time.Hour)
	require.NoError(t, err)
	pair, err := fleet.KeyPair()
	require.NoError(t, err)
	loaded, err := LoadAuthority(pair)
	require.NoError(t, err)
	state := tls.ConnectionState{}
	state.PeerCertificates = append(state.PeerCertificates, issue(t, loaded, "vm-1").Certificate.Leaf)
	require.NoError(t, issue(t, fleet, "vm-2").Verify(state))

	leaf, err := fleet.Issue(Request{VM: "vm-1", Lifetime: time.Hour})
	require.NoError(t, err)
	_, err = LoadAuthority(leaf)
	require.Error(t, err)
}

// Guards against a daemon that loses its credentials while key files are replaced:
// the files are invalid until the last of them is written.
func TestReloaderKeepsOldKeysWhenNewOnesAreUnusable(t *testing.T) {
	fleet, err := NewAuthority("fleet", time.Hour)
	require.NoError(t, err)
	dir := t.TempDir()
	files := Files{
		Name:        "daemons",
		Certificate: filepath.Join(dir, "crt"),
		Key:         filepath.Join(dir, "key"),
		Authorities: filepath.Join(dir, "ca"),
	}
	write := func() {
		pair, err := fleet.Issue(Request{Lifetime: time.Hour})
		require.NoError(t, err)
		require.NoError(t, pair.Write(files.Certificate, files.Key))
	}
	_, err = NewReloader(files, nil)
	require.Error(t, err)

	write()
	require.NoError(t, os.WriteFile(files.Authorities, fleet.Certificate(), 0o600))
	r := recorder.New()
	l, err := NewReloader(files, r)
	require.NoError(t, err)
	first := l.Credentials()

	l.Reload()
	require.Same(t, first, l.Credentials())

	require.NoError(t, os.WriteFile(files.Key, []byte("broken"), 0o600))
	l.Reload()
	require.Same(t, first, l.Credentials())
	require.EqualValues(t, 1, r.Counter("event.keys_unusable").Count())

	write()
	l.Reload()
	require.NotSame(t, first, l.Credentials())
	require.EqualValues(t, 1, r.Counter("event.keys_reloaded").Count())
	certificate, err := l.ServerTLS().GetCertificate(nil)
	require.NoError(t, err)
	require.Equal(t, l.Credentials().Certificate.Certificate, certificate.Certificate)
}
