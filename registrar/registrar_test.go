package registrar

import (
	"errors"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/persister"
)

var errNotAnUpstream = errors.New("not an upstream")

// decodeText decodes "SERVICE" or "SERVICE draining".
func decodeText(key string, value []byte) (Upstream, error) {
	service, state, _ := strings.Cut(string(value), " ")
	if service == "" {
		return Upstream{}, errNotAnUpstream
	}
	return Upstream{
		Name: Name(key), Service: "drafts", Address: netip.MustParseAddrPort("10.0.0.1:80"), Draining: state == "draining",
	}, nil
}

type clock struct {
	now, lastFailure time.Time
}

func newRegistrar(c *clock) *Registrar {
	c.now = time.Unix(1000, 0)
	return New(Config{
		Decode: decodeText, Now: func() time.Time { return c.now }, LastFailure: func() time.Time { return c.lastFailure },
	})
}

func newEntry(key, value string) persister.Entry {
	return persister.Entry{Key: key, Value: []byte(value), Revision: 1}
}

func names(r *Registrar) []string {
	list := []string{}
	for _, u := range r.Of("drafts") {
		list = append(list, string(u.Name))
	}
	return list
}

// Guards against a list that differs from the entries: unsorted, with draining or deleted
// upstreams, or with the earlier value of an entry that has become unreadable.
func TestListFollowsEntries(t *testing.T) {
	r := newRegistrar(&clock{})
	r.Reset([]persister.Entry{newEntry("b", "drafts"), newEntry("a", "drafts"), newEntry("torn", "")})
	require.Equal(t, []string{"a", "b"}, names(r))
	r.Apply(persister.Change{Entry: newEntry("a", "drafts draining")})
	require.Equal(t, []string{"b"}, names(r))
	r.Apply(persister.Change{Entry: newEntry("b", "")})
	require.Empty(t, names(r), "an unreadable entry lists no upstream")
	r.Apply(persister.Change{Entry: newEntry("b", "drafts")})
	require.Equal(t, []string{"b"}, names(r))
	r.Apply(persister.Change{Entry: newEntry("b", ""), Deleted: true})
	require.Empty(t, names(r))
}

// Guards against removing live upstreams whose entries expired while the store was unavailable,
// and against keeping dead ones for longer than recoveryTime.
func TestEntriesDeletedAfterAStoreFailureAreKeptTemporarily(t *testing.T) {
	c := &clock{}
	r := newRegistrar(c)
	r.Reset([]persister.Entry{newEntry("a", "drafts"), newEntry("b", "drafts")})
	c.now = c.now.Add(time.Minute)
	c.lastFailure = c.now
	r.Reset([]persister.Entry{newEntry("b", "drafts")})
	require.Equal(t, []string{"a", "b"}, names(r), "the store has just recovered")
	c.now = c.now.Add(time.Second)
	r.Expire()
	require.Equal(t, []string{"a", "b"}, names(r))
	c.now = c.now.Add(time.Second)
	r.Expire()
	require.Equal(t, []string{"b"}, names(r), "still missing two seconds after the store recovered")
}

// Guards against dropping an upstream that has written its entry again after the store recovered.
func TestRestoredEntryIsNotDropped(t *testing.T) {
	c := &clock{}
	r := newRegistrar(c)
	r.Reset([]persister.Entry{newEntry("a", "drafts")})
	c.lastFailure = c.now
	r.Reset(nil)
	c.now = c.now.Add(time.Second)
	r.Apply(persister.Change{Entry: newEntry("a", "drafts")})
	c.now = c.now.Add(10 * time.Second)
	r.Expire()
	require.Equal(t, []string{"a"}, names(r))
}

// Guards against treating draining upstreams as gone: their requests in flight continue, so Listed
// and Addresses have to include them.
func TestDrainingUpstreamsAreStillListed(t *testing.T) {
	r := newRegistrar(&clock{})
	r.Reset([]persister.Entry{newEntry("a", "drafts draining"), newEntry("torn", "")})
	require.Empty(t, names(r))
	require.True(t, r.Listed("a"))
	require.False(t, r.Listed("torn"))
	require.Len(t, r.Addresses(), 1)
}
