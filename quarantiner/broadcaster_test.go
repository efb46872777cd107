package quarantiner

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
	"laburnumline/messenger"
)

// fixedMembers is a fixed list of daemons in one availability zone.
type fixedMembers struct {
	self  int
	peers []messenger.Peer
}

func (m fixedMembers) Self() messenger.Peer                  { return m.peers[m.self] }
func (m fixedMembers) Zones() []contractor.Zone              { return []contractor.Zone{"a"} }
func (m fixedMembers) Zone(contractor.Zone) []messenger.Peer { return m.peers }
func peerOf(i int) messenger.Peer                            { return messenger.Peer{VM: vmOf(i), Zone: "a"} }
func vmOf(i int) contractor.VM                               { return contractor.VM(fmt.Sprint("vm-", i)) }
func fleetOf(n int) (list []messenger.Peer) {
	for i := range n {
		list = append(list, peerOf(i))
	}
	return list
}

// A caller retries a crashing request at once at another daemon. The request must be known
// there as a suspect, also if one daemon is partitioned from the others.
func TestBroadcastPrecedesRetryAtOtherDaemon(t *testing.T) {
	tests := []struct {
		name string
		// partitioned is the index of a daemon that the others cannot reach, or -1.
		partitioned int
		crashed     int
	}{
		{"all daemons reachable", -1, 3},
		{"first daemon partitioned", 0, 3},
		{"third daemon partitioned", 2, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const n = 6
			list, _, _ := newRegistries(n)
			loopback := &messenger.Loopback{}
			for i, r := range list {
				mux := &messenger.Mux{}
				Handle(mux, r.Local)
				loopback.Attach(vmOf(i), mux)
				b := &Broadcaster{Members: fixedMembers{i, fleetOf(n)}, Caller: loopback.Caller(peerOf(i))}
				r.Local.config.Broadcast = b.Broadcast
				if tt.partitioned >= 0 && i != tt.partitioned {
					loopback.SetPartitioned(vmOf(i), vmOf(tt.partitioned), true)
				}
			}
			crashed := 0
			// The daemons learn nothing from the store, only from each other.
			for i := range 5 * n {
				if executed, _ := execute(t, list[i%n], digest(1), fmt.Sprint("runner-", i), true); executed {
					crashed++
				}
			}
			require.Equal(t, tt.crashed, crashed)
		})
	}
}
