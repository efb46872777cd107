package admitter

import (
	"time"

	"laburnumline/contractor"
)

// shares tells which accounts use more than their fair share. The caller holds the lock.
type shares struct {
	usage map[contractor.Account]*decayed
	// fair is the mean usage of the active accounts, several whether there are at least two.
	fair      float64
	several   bool
	updatedAt time.Time
}

// add records an admitted request.
func (s *shares) add(now time.Time, r *Request) {
	u := s.usage[r.Account]
	if u == nil {
		u = &decayed{at: now}
		s.usage[r.Account] = u
	}
	u.add(now, shareDecay, r.cost())
}

// excess returns how far an account exceeds its fair share: 0 for not at all, 1 for twice the share or more.
// It is gradual because the usage of an account with few requests varies at random.
func (s *shares) excess(now time.Time, account contractor.Account) float64 {
	u := s.usage[account]
	if u == nil || !s.several || s.fair <= 0 {
		return 0
	}
	return min(max(u.value(now, shareDecay)/s.fair-1, 0), 1)
}

// observe updates the fair share: with each sample of an overloaded daemon, and else less often.
func (s *shares) observe(now time.Time, overloaded bool) {
	if !overloaded && now.Sub(s.updatedAt) < maintenanceInterval {
		return
	}
	s.updatedAt = now
	total, active := 0.0, 0
	for account, u := range s.usage {
		v := u.value(now, shareDecay)
		if v < requestCost/8 {
			delete(s.usage, account)
			continue
		}
		total += v
		active++
	}
	s.several = active > 1
	s.fair = total / float64(max(active, 1))
}
