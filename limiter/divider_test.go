package limiter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
	"laburnumline/messenger"
)

type fakeMembers struct {
	self  int
	peers []messenger.Peer
}

func (m fakeMembers) Self() messenger.Peer                  { return m.peers[m.self] }
func (m fakeMembers) Zones() []contractor.Zone              { return []contractor.Zone{"a"} }
func (m fakeMembers) Zone(contractor.Zone) []messenger.Peer { return m.peers }

// startFleet returns the limiters of n daemons that divide rates until ctx
// ends.
func startFleet(ctx context.Context, n int) ([]*Limiter, *messenger.Loopback) {
	peers := make([]messenger.Peer, n)
	for i := range peers {
		peers[i] = messenger.Peer{VM: contractor.VM(fmt.Sprint("vm-", i)), Zone: "a"}
	}
	loopback := &messenger.Loopback{}
	limiters := make([]*Limiter, n)
	for i := range limiters {
		d := &RateDivider{Members: fakeMembers{i, peers}, Caller: loopback.Caller(peers[i])}
		limiters[i] = New(Config{Share: d.EvenShare})
		d.Limiter = limiters[i]
		mux := &messenger.Mux{}
		d.Handle(mux)
		loopback.Attach(peers[i].VM, mux)
		go func() { _ = d.Run(ctx) }()
	}
	return limiters, loopback
}

// sendRequests sends requests of one account to daemons chosen with the given
// weights. It returns how many it sent and how many were admitted.
func sendRequests(ctx context.Context, limiters []*Limiter, weights []float64, rate float64, d time.Duration, limit contractor.Rate) (offered, admitted int) {
	random := rand.New(rand.NewPCG(7, 7))
	total := 0.0
	for _, w := range weights {
		total += w
	}
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		x, i := random.Float64()*total, 0
		for x > weights[i] {
			x -= weights[i]
			i++
		}
		offered++
		a, err := limiters[i].Admit(ctx, Request{Account: "loft-7", Target: "m", Rate: limit})
		if err == nil {
			admitted++
			a.Release(Outcome{})
		}
	}
	return offered, admitted
}

// Guards against a divided rate that admits too much or too little in total:
// with seven daemons, the sum must stay within 3 % of the contract's rate or of
// the demand.
func TestDividedRateStaysNearLimit(t *testing.T) {
	limit := contractor.Rate{Requests: 50, Burst: 50}
	even, skewed := []float64{1, 1, 1, 1, 1, 1, 1}, []float64{20, 4, 1, 1, 1, 1, 1}
	tests := []struct {
		name    string
		weights []float64
		rate    float64
	}{
		{"even, three times the limit", even, 150},
		{"skewed, three times the limit", skewed, 150},
		{"even, below the limit", even, 40},
		{"skewed, below the limit", skewed, 40},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				limiters, _ := startFleet(ctx, len(tt.weights))
				sendRequests(ctx, limiters, tt.weights, tt.rate, 15*time.Second, limit)
				offered, admitted := sendRequests(ctx, limiters, tt.weights, tt.rate, 60*time.Second, limit)
				allowed := 60 * limit.Requests
				t.Logf("offered %d, admitted %d, the contract allows %g", offered, admitted, allowed)
				require.GreaterOrEqual(t, float64(admitted), 0.97*min(float64(offered), allowed))
				require.LessOrEqual(t, float64(admitted), 1.03*allowed)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against a daemon that keeps a large share after it lost contact with
// the coordinator, which may have given that share to others.
func TestPartitionedDaemonFallsBackToEvenShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		limiters, loopback := startFleet(ctx, 4)
		limit := contractor.Rate{Requests: 40, Burst: 40}
		const partitioned = 1
		require.Equal(t, contractor.VM("vm-0"), coordinatorName("loft-7", 4), "the coordinator is another daemon")
		weights := []float64{0, 1, 0, 0}
		sendRequests(ctx, limiters, weights, 100, 15*time.Second, limit)
		require.Greater(t, shareOf(limiters[partitioned]), 0.9)
		loopback.SetPartitioned("vm-0", "vm-1", true)
		sendRequests(ctx, limiters, weights, 100, 15*time.Second, limit)
		require.Equal(t, 0.25, shareOf(limiters[partitioned]))
		cancel()
		synctest.Wait()
	})
}

func shareOf(l *Limiter) float64 { return l.accounts.shard("loft-7").accounts["loft-7"].share }

func coordinatorName(account contractor.Account, n int) contractor.VM {
	var peers []messenger.Peer
	for i := range n {
		peers = append(peers, messenger.Peer{VM: contractor.VM(fmt.Sprint("vm-", i))})
	}
	coordinator, _ := coordinatorOf(account, peers)
	return coordinator.VM
}
