package tracker

import (
	"cmp"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"laburnumline/messenger"
)

// State is the state of a member as one daemon sees it.
type State uint8

const (
	// Alive members answer probes.
	Alive State = iota
	// Suspect members did not answer and can still refute the suspicion.
	Suspect
	// Unreachable members did not refute a suspicion in time. They may return.
	Unreachable
	// Leaving members are alive and have announced a planned stop, or the VM
	// list marks their VM as leaving.
	Leaving
	// Gone members are unreachable and the VM list no longer has their VM.
	Gone
)

var stateNames = [...]string{"alive", "suspect", "unreachable", "leaving", "gone"}

func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state(%d)", uint8(s))
}

// Record is what daemons exchange about one member.
type Record struct {
	Peer messenger.Peer `cbor:"1,keyasint"`
	// Sequence is raised by the member itself to refute a suspicion.
	Sequence uint32 `cbor:"2,keyasint,omitempty"`
	// State is Alive, Suspect or Unreachable.
	State State `cbor:"3,keyasint,omitempty"`
	// Leaving is true once the member has announced a planned stop.
	Leaving bool `cbor:"4,keyasint,omitempty"`
}

// valid reports whether the record is one that a correct daemon can send.
func (r Record) valid() bool {
	return r.Peer.VM != "" && r.Peer.Zone != "" && r.State <= Unreachable
}

// merge returns what is known from both records of one VM. The newer incarnation
// wins, then the higher sequence, then the worse state; Leaving is kept within an
// incarnation. The result does not depend on the order of merges, so daemons that
// received the same records agree.
func (r Record) merge(other Record) Record {
	newer := cmp.Or(
		cmp.Compare(other.Peer.Incarnation, r.Peer.Incarnation),
		cmp.Compare(other.Sequence, r.Sequence),
		cmp.Compare(other.State, r.State),
	)
	merged := r
	if newer > 0 {
		merged = other
	}
	if r.Peer.Incarnation == other.Peer.Incarnation {
		merged.Leaving = r.Leaving || other.Leaving
	}
	return merged
}

// digest returns a hash of the record. It is zero for unreachable members, because
// daemons forget them at different times.
func (r Record) digest() uint64 {
	if r.State == Unreachable {
		return 0
	}
	var raw [16]byte
	binary.LittleEndian.PutUint64(raw[:], uint64(r.Peer.Incarnation))
	binary.LittleEndian.PutUint32(raw[8:], r.Sequence)
	raw[12] = byte(r.State)
	if r.Leaving {
		raw[13] = 1
	}
	return mix(xxhash.Sum64(raw[:]) ^ xxhash.Sum64String(string(r.Peer.VM)))
}

// mix is the finalizer of SplitMix64: each bit of x affects all bits of the result.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
