package apportioner

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/persister"
)

const attachedPrefix = "attached/"

// attachments is a key that a daemon wants to write with its rounds: the number of additions.
type attachments struct {
	key string

	mu             sync.Mutex
	added, written int
}

func (a *attachments) add() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.added++
}

// counts returns the number of additions, and of those that are known to be written.
func (a *attachments) counts() (added, written int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.added, a.written
}

func (a *attachments) attach(bool) Attachment {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.added == a.written {
		return Attachment{}
	}
	number := a.added
	return Attachment{Puts: []persister.Put{{Key: a.key, Value: []byte(fmt.Sprint(number))}}, Written: func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.written = max(a.written, number)
	}}
}

// Attach and Written were called under the lock and took that of the archivist, which called the Apportioner under its own: a
// daemon hung for good.
func TestAttachmentsAreHandledWithoutTheLock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 900_000)
		d := f.daemons[0]
		time.Sleep(3 * time.Second)
		d.stop()
		time.Sleep(time.Second)
		attached, written := 0, 0
		check := func(calls *int) {
			*calls++
			require.True(t, d.mu.TryLock(), "nothing else runs")
			d.mu.Unlock()
		}
		d.config.Attach = func(bool) Attachment {
			check(&attached)
			return Attachment{Written: func() { check(&written) }}
		}
		d.RunRound(t.Context())
		require.Equal(t, 1, attached)
		require.Equal(t, 1, written)
	})
}

// What is attached to rounds must be in the store soon after it was added, whatever conflicts, lost responses and outages come
// between, and only in transactions of rounds.
func TestAttachmentsAreWrittenWithRounds(t *testing.T) {
	tests := []struct {
		name           string
		daemons        int
		relay, outages bool
	}{
		{name: "small fleet", daemons: 7},
		{name: "small fleet, outages", daemons: 7, outages: true},
		{name: "relay that loses responses", daemons: 30, relay: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(tt.daemons, 100_000_000)
				defer f.stopAll()
				if tt.relay {
					defer f.startRelay(rand.New(rand.NewPCG(1, 2)))()
				}
				time.Sleep(10 * time.Second)
				lists := make([]*attachments, len(f.daemons))
				for i, d := range f.daemons {
					lists[i] = &attachments{key: attachedPrefix + d.name}
					d.Apportioner.mu.Lock()
					d.config.Attach = lists[i].attach
					d.Apportioner.mu.Unlock()
				}
				for step := range 60 {
					for i, d := range f.daemons {
						f.drain(d, 300)
						lists[i].add()
						d.link.partitioned.Store(tt.outages && step%30 > 10 && step%30 < 25)
					}
					time.Sleep(100 * time.Millisecond)
				}
				time.Sleep(3 * roundInterval)
				for i, d := range f.daemons {
					added, written := lists[i].counts()
					require.Equal(t, added, written)
					entry, err := f.store.Get(t.Context(), lists[i].key)
					require.NoError(t, err)
					require.Equal(t, fmt.Sprint(added), string(entry.Value))
					require.Zero(t, d.link.attachedAlone.Load())
				}
				require.LessOrEqual(t, f.spent, f.prepaid)
			})
		})
	}
}
