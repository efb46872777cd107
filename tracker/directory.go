package tracker

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"laburnumline/contractor"
	"laburnumline/messenger"
)

// directory is an immutable copy of the live daemons, for queries without a lock.
type directory struct {
	zones map[contractor.Zone]*zoneDaemons
}

// zoneDaemons holds the live daemons of a zone.
type zoneDaemons struct {
	live     []messenger.Peer // sorted by VM
	eligible []messenger.Peer // possible keepers: live and not leaving, or all live ones if all leave
	hashes   []uint64         // hash of the VM of each eligible daemon
}

// keeper returns the daemon with the highest rendezvous hash for an account. When a
// daemon joins or leaves, only the accounts that it gains or loses change keeper.
func (z *zoneDaemons) keeper(account contractor.Account) (messenger.Peer, bool) {
	if z == nil || len(z.eligible) == 0 {
		return messenger.Peer{}, false
	}
	hash := xxhash.Sum64String(string(account))
	best, highest := 0, uint64(0)
	for i, h := range z.hashes {
		if score := mix(h ^ hash); score > highest {
			best, highest = i, score
		}
	}
	return z.eligible[best], true
}

// directory returns a new directory of the view.
func (v *view) directory() *directory {
	d := &directory{zones: make(map[contractor.Zone]*zoneDaemons)}
	for _, m := range v.members {
		if !v.live(m) {
			continue
		}
		z := d.zones[m.Peer.Zone]
		if z == nil {
			z = &zoneDaemons{}
			d.zones[m.Peer.Zone] = z
		}
		z.live = append(z.live, m.Peer)
		if !v.leaving(m) {
			z.eligible = append(z.eligible, m.Peer)
		}
	}
	for _, z := range d.zones {
		slices.SortFunc(z.live, byVM)
		if len(z.eligible) == 0 {
			z.eligible = slices.Clone(z.live)
		}
		slices.SortFunc(z.eligible, byVM)
		for _, p := range z.eligible {
			z.hashes = append(z.hashes, xxhash.Sum64String(string(p.VM)))
		}
	}
	return d
}

func byVM(a, b messenger.Peer) int { return strings.Compare(string(a.VM), string(b.VM)) }
