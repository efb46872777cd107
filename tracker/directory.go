package tracker

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"laburnumline/contractor"
	"laburnumline/messenger"
)

// directory is an immutable extract of the view for queries without a lock.
type directory struct {
	zones map[contractor.Zone]*zoneDaemons
}

// zoneDaemons holds the live daemons of a zone.
type zoneDaemons struct {
	live     []messenger.Peer // sorted by VM
	eligible []messenger.Peer // live and not leaving, or all live ones when all leave
	hashes   []uint64         // hash of the VM of each keeper
}

// keeper returns the daemon with the highest rendezvous hash for an account. A
// daemon that joins or leaves moves only the accounts that it gains or loses.
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

// directory returns the extract of the present view.
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
