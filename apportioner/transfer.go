package apportioner

import (
	"cmp"
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"laburnumline/contractor"
)

// minTransfer is the smallest transfer in tokens that is worth a message: about a short
// request. A request for less is granted in full or not at all.
const minTransfer = 1000

// GrantTransfer transfers up to the given number of tokens to another daemon and returns how
// many. They count as spent here at once. The limits of the stages therefore cover them too,
// and if this daemon is killed, its next incarnation counts them as spent.
func (a *Apportioner) GrantTransfer(ctx context.Context, name contractor.Account, tokens contractor.Tokens) contractor.Tokens {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.accounts[name]
	if s == nil || tokens <= 0 || !a.state.joined {
		return 0
	}
	spare := func() contractor.Tokens { return s.granted - s.spent - s.reserved - s.awaited }
	if want := min(tokens, spare()); want > s.available(a.stage()) {
		a.awaitRounds(ctx, s, want, spare)
	}
	granted := min(tokens, s.available(a.stage()))
	if granted < min(tokens, minTransfer) {
		return 0
	}
	s.spent += granted
	if a.unlocksSoon(s, tokens) {
		signal(a.roundSoon)
	}
	return granted
}

// CreditTransfer adds tokens that another daemon has counted as spent. They are available in
// every stage. They are subtracted from what was spent here, which the next round settles.
func (a *Apportioner) CreditTransfer(name contractor.Account, tokens contractor.Tokens) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.account(name).spent -= tokens
}

// TransferPeers returns the addresses of other daemons from which to request tokens of an
// account. Its holders come first, in random order, to spread the requests over them.
func (a *Apportioner) TransferPeers(name contractor.Account) []netip.AddrPort {
	a.mu.Lock()
	defer a.mu.Unlock()
	ranked := rankMembers(name, a.state.pool.Members)
	left := a.prepaid[name] - a.state.pool.sums(name).Spent
	count := min(holderCount(a.config.AllocatedFraction*float64(left), len(ranked)), len(ranked))
	rand.Shuffle(count, func(i, j int) { ranked[i], ranked[j] = ranked[j], ranked[i] })
	var peers []netip.AddrPort
	for _, vm := range ranked {
		if vm == a.config.Name {
			continue
		}
		if address, err := netip.ParseAddrPort(a.state.pool.Members[vm].Address); err == nil {
			peers = append(peers, address)
		}
	}
	return peers
}

// holderCount is the number of daemons that hold shares of an account's balance: all daemons
// if each gets at least minShare, else as many as can get holderShareTokens.
func holderCount(allocated float64, members int) int {
	if maxEvenFraction*allocated >= minShare*float64(members) {
		return members
	}
	return max(int(allocated/holderShareTokens), 1)
}

// rankMembers orders the members for an account, the same on every daemon. The first ones are
// the holders of a balance that is too small for all. It also orders the members for a VM.
func rankMembers[T ~string](name T, members map[string]member) []string {
	weights := make(map[string]uint64, len(members))
	names := make([]string, 0, len(members))
	key := xxhash.Sum64String(string(name))
	for vm := range members {
		weights[vm] = rankWeight(key, vm)
		names = append(names, vm)
	}
	slices.SortFunc(names, func(x, y string) int {
		return cmp.Or(cmp.Compare(weights[y], weights[x]), cmp.Compare(x, y))
	})
	return names
}

// isHolder reports whether this daemon holds a share of an account's balance. When the balance
// is too small for all, the first members in the account's order do. The lock is held.
func (a *Apportioner) isHolder(name contractor.Account, p *pool) bool {
	count := holderCount(a.config.AllocatedFraction*float64(a.prepaid[name]-p.sums(name).Spent), len(p.Members))
	if count >= len(p.Members) {
		return true
	}
	key := xxhash.Sum64String(string(name))
	own, ahead := rankWeight(key, a.config.Name), 0
	for vm := range p.Members {
		if rankWeight(key, vm) > own {
			ahead++
		}
	}
	return ahead < count
}

// rankWeight determines the position of a VM in the order of members for a key.
func rankWeight(key uint64, vm string) uint64 {
	b := binary.LittleEndian.AppendUint64(nil, key)
	return xxhash.Sum64(append(b, vm...))
}
