package registrar

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
	"laburnumline/persister"
	"laburnumline/throttler"
)

// Guards against requests to an evacuated zone, and against streams that are continued by another software
// version because the one that began them is only in that zone and was forgotten.
func TestEvacuatedZoneIsLeftOut(t *testing.T) {
	evacuated := ""
	r := New(Config{
		Now:       func() time.Time { return time.Unix(1000, 0) },
		Evacuated: func(zone string) bool { return zone == evacuated },
		Decode: func(key string, value []byte) (Upstream, error) {
			zone, software, _ := strings.Cut(string(value), " ")
			return Upstream{Name: Name(key), Service: "drafts", Zone: zone, Software: software}, nil
		},
	})
	r.Reset([]persister.Entry{newEntry("i-1", "a v1"), newEntry("i-2", "b v2"), newEntry("i-3", "a v1")})
	evacuated = "a"
	require.Equal(t, []string{"i-1", "i-2", "i-3"}, names(r))
	r.Refresh()
	require.Equal(t, []string{"i-2"}, names(r))
	require.Len(t, r.EvacuatedOf("drafts"), 2)
	require.Len(t, r.InZone("a"), 2)
	require.True(t, r.Listed("i-1"))
	versions, _ := r.SoftwareVersions("drafts")
	require.Equal(t, []string{"v1", "v2"}, versions)
	r.Apply(persister.Change{Entry: newEntry("i-4", "a v1")})
	require.Equal(t, []string{"i-2"}, names(r), "an upstream that appears in the zone is left out too")
	evacuated = ""
	r.Refresh()
	require.Equal(t, []string{"i-1", "i-2", "i-3", "i-4"}, names(r))
	require.Empty(t, r.EvacuatedOf("drafts"))
}

// Guards against an upstream that gets no requests, or counts as warm, because its warm-up cannot be read, and
// against a warm-up that begins anew each time the same entry is read again.
func TestWarmupIsReportedOncePerRenewal(t *testing.T) {
	var reported []string
	r := New(Config{
		Renewed: func(u *Upstream, w throttler.WarmupStatement) {
			reported = append(reported, fmt.Sprint(u.Name, w.Stated, w.Left))
		},
		Decode: func(key string, value []byte) (Upstream, error) {
			u := Upstream{Name: Name(key), Service: "drafts"}
			if string(value) == "bad" {
				return u, fmt.Errorf("entry %q: %w", key, ErrWarmup)
			}
			var err error
			u.Warmup, err = time.ParseDuration(string(value))
			return u, err
		},
	})
	write := func(value string, revision contractor.Revision) persister.Entry {
		return persister.Entry{Key: "i", Value: []byte(value), Revision: revision}
	}
	r.Reset([]persister.Entry{write("3s", 1)})
	r.Reset([]persister.Entry{write("3s", 1)})
	r.Apply(persister.Change{Entry: write("bad", 2)})
	require.Equal(t, []string{"i"}, names(r))
	r.Apply(persister.Change{Entry: write("0s", 3)})
	require.Equal(t, []string{"itrue 3s", "ifalse 0s", "itrue 0s"}, reported)
}
