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

var errForeign = errors.New("not an upstream")

// decodeText reads "SERVICE" or "SERVICE draining".
func decodeText(key string, value []byte) (Upstream, error) {
	service, state, _ := strings.Cut(string(value), " ")
	if service == "" {
		return Upstream{}, errForeign
	}
	return Upstream{
		Name: Name(key), Service: "drafts", Address: netip.MustParseAddrPort("10.0.0.1:80"), Draining: state == "draining",
	}, nil
}

type clock struct {
	now, gap time.Time
}

func newList(c *clock) *Registrar {
	c.now = time.Unix(1000, 0)
	return New(Config{
		Decode: decodeText, Now: func() time.Time { return c.now }, LastFailure: func() time.Time { return c.gap },
	})
}

func keyed(key, value string) persister.Entry {
	return persister.Entry{Key: key, Value: []byte(value), Revision: 1}
}

func names(r *Registrar) []string {
	list := []string{}
	for _, u := range r.Of("drafts") {
		list = append(list, string(u.Name))
	}
	return list
}

func TestListFollowsEntries(t *testing.T) {
	r := newList(&clock{})
	r.Reset([]persister.Entry{keyed("b", "drafts"), keyed("a", "drafts"), keyed("torn", "")})
	require.Equal(t, []string{"a", "b"}, names(r))
	r.Apply(persister.Change{Entry: keyed("a", "drafts draining")})
	require.Equal(t, []string{"b"}, names(r))
	r.Apply(persister.Change{Entry: keyed("b", "")})
	require.Empty(t, names(r), "an unreadable entry names no upstream")
	r.Apply(persister.Change{Entry: keyed("b", "drafts")})
	require.Equal(t, []string{"b"}, names(r))
	r.Apply(persister.Change{Entry: keyed("b", ""), Deleted: true})
	require.Empty(t, names(r))
}

func TestEntriesThatLapseDuringAGapAreKeptForAWhile(t *testing.T) {
	c := &clock{}
	r := newList(c)
	r.Reset([]persister.Entry{keyed("a", "drafts"), keyed("b", "drafts")})
	c.now = c.now.Add(time.Minute)
	c.gap = c.now
	r.Reset([]persister.Entry{keyed("b", "drafts")})
	require.Equal(t, []string{"a", "b"}, names(r), "the store has just come back")
	c.now = c.now.Add(time.Second)
	r.Expire()
	require.Equal(t, []string{"a", "b"}, names(r))
	c.now = c.now.Add(time.Second)
	r.Expire()
	require.Equal(t, []string{"b"}, names(r), "still missing two seconds after the return")
}

func TestEntryThatIsBackIsNotDropped(t *testing.T) {
	c := &clock{}
	r := newList(c)
	r.Reset([]persister.Entry{keyed("a", "drafts")})
	c.gap = c.now
	r.Reset(nil)
	c.now = c.now.Add(time.Second)
	r.Apply(persister.Change{Entry: keyed("a", "drafts")})
	c.now = c.now.Add(10 * time.Second)
	r.Expire()
	require.Equal(t, []string{"a"}, names(r))
}

func TestDrainingUpstreamsAreStillListed(t *testing.T) {
	r := newList(&clock{})
	r.Reset([]persister.Entry{keyed("a", "drafts draining"), keyed("torn", "")})
	require.Empty(t, names(r))
	require.True(t, r.Listed("a"))
	require.False(t, r.Listed("torn"))
	require.Len(t, r.Addresses(), 1)
}
