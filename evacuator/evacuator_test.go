package evacuator

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
	"laburnumline/persister"
)

type fixture struct {
	*Evacuator
	now       time.Time
	era       int64
	changes   int
	returning []string
}

func newFixture() *fixture {
	f := &fixture{now: time.Unix(1000, 0)}
	f.Evacuator = New(Config{
		Prefix: "op/evacuate/", Zones: map[string]string{"a": "north", "b": "north", "c": "south"},
		Decode: func(key string, value []byte) (string, error) {
			if string(value) != "{}" {
				return "", errors.New("malformed")
			}
			return strings.TrimPrefix(key, "op/evacuate/"), nil
		},
		Era: func() int64 { return f.era }, Now: func() time.Time { return f.now },
		Returning: func(zone string, _ time.Time) {
			if f.Evacuated(zone) && !f.ReturnedAt(zone).IsZero() {
				f.returning = append(f.returning, zone)
			}
		},
		Changed: func() { f.changes++ },
	})
	return f
}

func entryOf(zone, value string) persister.Entry {
	return persister.Entry{Key: "op/evacuate/" + zone, Value: []byte(value), Revision: contractor.Revision(7)}
}

func put(zone, value string) persister.Change { return persister.Change{Entry: entryOf(zone, value)} }

func remove(zone string) persister.Change {
	return persister.Change{Entry: persister.Entry{Key: "op/evacuate/" + zone}, Deleted: true}
}

// Guards against a daemon that starts during an evacuation, or whose watch missed changes, and uses the zone: a
// list of all keys must evacuate what it has and return what it lacks.
func TestResetReplacesMissedChanges(t *testing.T) {
	f := newFixture()
	f.Reset([]persister.Entry{{Key: "op/config"}, entryOf("a", "{}")})
	require.Equal(t, []string{"a"}, f.Zones())
	f.Reset([]persister.Entry{entryOf("b", "{}"), entryOf("c", "{}")})
	require.Equal(t, []string{"b", "c"}, f.Zones())
	require.Equal(t, f.now, f.ReturnedAt("a"))
	require.Equal(t, 2, f.changes)
	f.Reset([]persister.Entry{entryOf("b", "{}"), entryOf("c", "{}")})
	require.Equal(t, 2, f.changes, "nothing has changed")
}

// Guards against upstreams that get requests before they count as cold: a zone must still be evacuated, but its
// return be known, while they are prepared.
func TestZoneIsEvacuatedWhileItsReturnIsPrepared(t *testing.T) {
	f := newFixture()
	f.Apply(put("a", "{}"))
	require.True(t, f.Evacuated("a"))
	require.Zero(t, f.ReturnedAt("a"))
	f.now = f.now.Add(time.Minute)
	f.Apply(remove("a"))
	require.Equal(t, []string{"a"}, f.returning)
	require.False(t, f.Evacuated("a"))
	require.Equal(t, f.now, f.ReturnedAt("a"))
}

// Guards against an invalid key that ends or begins an evacuation: an operator's slip must change nothing.
func TestInvalidKeysChangeNothing(t *testing.T) {
	f := newFixture()
	f.Apply(put("a", "{}"))
	f.Apply(put("a", "{"))
	f.Apply(put("b", "true"))
	f.Apply(put("unknown", "{}"))
	f.Apply(persister.Change{Entry: persister.Entry{Key: "op/other"}, Deleted: true})
	require.Equal(t, []string{"a"}, f.Zones())
	f.Reset([]persister.Entry{entryOf("a", "{"), entryOf("unknown", "{}")})
	require.Equal(t, []string{"a"}, f.Zones(), "the key is there, only its value is malformed")
	require.Equal(t, 1, f.changes)
}

// Guards against a zone that is used because the store was restored from a copy without its key: it must stay
// evacuated until the operator had time to write the key again.
func TestEvacuationOutlivesRestoredStore(t *testing.T) {
	f := newFixture()
	for _, zone := range []string{"a", "b", "c"} {
		f.Apply(put(zone, "{}"))
	}
	f.era++
	f.Reset(nil)
	f.Reset(nil) // the watch was restarted
	require.Equal(t, []string{"a", "b", "c"}, f.Zones())
	f.Apply(put("a", "{}"))
	f.Apply(remove("b"))
	require.Equal(t, []string{"a", "c"}, f.Zones(), "a deleted key ends the evacuation at once")
	f.now = f.now.Add(restoreHold - 1)
	f.Expire()
	require.Equal(t, []string{"a", "c"}, f.Zones())
	f.now = f.now.Add(1)
	f.Expire()
	require.Equal(t, []string{"a"}, f.Zones(), "the key of c was not written again")
}
