package hedger

import (
	"time"

	"laburnumline/contractor"
)

const (
	// Window is the time for which the share holds.
	Window = 10 * time.Second
	// slotTime is the resolution of the window.
	slotTime = 500 * time.Millisecond
	// slotCount is one more than a window has: sends count for up to a slot longer than the requests
	// that allow them.
	slotCount = int(Window/slotTime) + 1
	// fairTolerance is how many times an equal part of the allowed sends an account may use.
	fairTolerance = 2
	// maxAccounts limits the memory. Further accounts share one count.
	maxAccounts = 4096
)

// counts are requests or second sends with their prompt tokens.
type counts struct{ requests, tokens float64 }

func (c *counts) add(r *Request, n float64) {
	c.requests += n
	c.tokens += n * float64(max(r.PromptTokens, 0))
}

// budget counts requests and second sends in a sliding window.
//
// A daemon with few requests is allowed less than one send in a window. If it rounded down, small daemons would never
// send twice; if it rounded up, a fleet of them would exceed the share. It therefore rounds at random, so
// that the expected number is what is allowed. The random number is drawn once for each window, because
// one for each decision would allow every send at last.
type budget struct {
	slot            int64 // number of the current slot since the epoch
	requests, sends [slotCount]counts
	// accounts counts the second sends by account in the current and in the last window.
	accounts [2]map[contractor.Account]float64
	window   int64
	rounding float64
}

func newBudget() budget {
	return budget{accounts: [2]map[contractor.Account]float64{{}, {}}, window: -1}
}

// advance drops what is older than the window. A clock that is set back changes nothing.
func (b *budget) advance(now time.Time, random func() float64) {
	slot := now.UnixNano() / int64(slotTime)
	if b.slot == 0 || slot-b.slot > int64(slotCount) {
		b.requests, b.sends = [slotCount]counts{}, [slotCount]counts{}
		b.slot = slot
	}
	for b.slot < slot {
		b.slot++
		i := b.slot % int64(slotCount)
		b.requests[i], b.sends[i] = counts{}, counts{}
	}
	if window := now.UnixNano() / int64(Window); window > b.window {
		b.accounts[0], b.accounts[1] = b.accounts[1], b.accounts[0]
		clear(b.accounts[0])
		if window > b.window+1 {
			clear(b.accounts[1])
		}
		b.window, b.rounding = window, random()
	}
}

func (b *budget) addRequest(now time.Time, r *Request, random func() float64) {
	b.advance(now, random)
	b.requests[b.slot%int64(slotCount)].add(r, 1)
	b.addAccount(r.Account, 0)
}

// addSend counts second sends. A negative number takes back what was counted.
func (b *budget) addSend(r *Request, n float64) {
	b.sends[b.slot%int64(slotCount)].add(r, n)
	b.addAccount(r.Account, n)
}

func (b *budget) addAccount(account contractor.Account, n float64) {
	if _, known := b.accounts[0][account]; !known && len(b.accounts[0]) >= maxAccounts {
		account = ""
	}
	b.accounts[0][account] += n
}

// check reports whether one more send is within the share.
func (b *budget) check(now time.Time, r *Request, share float64, random func() float64) Reason {
	b.advance(now, random)
	var requests, sends counts
	oldest := (b.slot + 1) % int64(slotCount)
	for i := range b.requests {
		if int64(i) != oldest {
			requests.requests += b.requests[i].requests
			requests.tokens += b.requests[i].tokens
		}
		sends.requests += b.sends[i].requests
		sends.tokens += b.sends[i].tokens
	}
	tokens := float64(max(r.PromptTokens, 0))
	allowed := share*requests.requests + b.rounding
	switch {
	case sends.requests+1 > allowed, sends.tokens+tokens > share*requests.tokens+b.rounding*tokens:
		return ShareUsed
	case b.ofAccount(r.Account)+1 > max(fairTolerance*allowed/b.activeAccounts(), 1):
		return AccountShareUsed
	}
	return Allowed
}

func (b *budget) ofAccount(account contractor.Account) float64 {
	return b.accounts[0][account] + b.accounts[1][account]
}

// activeAccounts returns the number of accounts with requests, at least 1.
func (b *budget) activeAccounts() float64 {
	return float64(max(len(b.accounts[0]), len(b.accounts[1]), 1))
}
