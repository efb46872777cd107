package allocator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/allocator"
)

// seed is the seed of the requests, the same for all strategies.
const seed = 20260105

// strategy is a way of dividing a balance between zones.
type strategy struct {
	name  string
	build func(sim *simulation, end time.Time) system
}

func strategies() []strategy {
	return []strategy{
		{"ours", fleetWith(allocator.Config{})},
		{"equal split", newEqualSplit},
		{"compare-and-swap", newSwapPerRequest},
		{"fixed grants", newFixedGrants},
	}
}

// BenchmarkBudget compares the keepers with simple strategies in each scenario.
func BenchmarkBudget(b *testing.B) {
	for _, zones := range []int{3, 8} {
		for _, s := range scenarios(zones, 1) {
			for _, st := range strategies() {
				b.Run(s.name+"/"+st.name, func(b *testing.B) {
					for range b.N {
						reportMetrics(b, s, st)
					}
				})
			}
		}
	}
}

func reportMetrics(b *testing.B, s scenario, st strategy) {
	sim, _ := simulate(s, seed, st.build)
	b.ReportMetric(float64(sim.overspend), "overspend_tokens")
	b.ReportMetric(sim.phases[0].falseRefusalPercent(), "false_refusals_pct")
	b.ReportMetric(sim.phases[1].falseRefusalPercent(), "last_percent_false_refusals_pct")
	b.ReportMetric(float64(sim.phases[0].falselyRefused+sim.phases[1].falselyRefused), "false_refusals")
	b.ReportMetric(sim.writesPerSecond(), "store_writes_per_s")
	b.ReportMetric(sim.stranded, "stranded_pct")
	if s.partition.to > 0 || s.storeOutage.to > 0 {
		b.ReportMetric(sim.duringFault.falseRefusalPercent(), "during_fault_false_refusals_pct")
	}
	if s.deathAt > 0 {
		b.ReportMetric(sim.recoveryTime.Seconds(), "serves_again_s")
		b.ReportMetric(sim.slowest.Seconds(), "slowest_s")
	}
}

// Guards against a strategy that spends more than the prepaid balance under partitions,
// store outages or the death of a keeper, which would make the comparison meaningless.
func TestNoScenarioOverspends(t *testing.T) {
	for _, s := range scenarios(3, 0.02) {
		for _, st := range strategies() {
			t.Run(s.name+"/"+st.name, func(t *testing.T) {
				sim, _ := simulate(s, seed, st.build)
				require.Zero(t, sim.overspend)
				require.NotZero(t, sim.phases[0].served)
			})
		}
	}
}

// BenchmarkBudgetWrites measures the store writes of a number of accounts, which get
// the same fraction of the fleet's writes as they are of 2,100 accounts.
func BenchmarkBudgetWrites(b *testing.B) {
	const (
		accounts, zones, perAccount = 2100, 8, 10
		fleetWrites                 = 100.0
	)
	for _, c := range []struct{ accounts, zones, perAccount int }{
		{7, zones, perAccount}, {14, zones, perAccount}, {28, zones, perAccount},
		{14, 2, perAccount}, {14, 4, perAccount},
		{14, zones, 5}, {14, zones, 20},
	} {
		fraction := float64(c.accounts) / accounts
		s := scenario{
			accounts: c.accounts, zones: c.zones, budgets: 157, skew: 1, daemons: 1,
			requestsPerSecond: float64(c.accounts * c.perAccount), prepaid: 50_000_000,
			warmup: 10 * time.Minute, length: 20 * time.Minute, fleetWrites: fleetWrites * fraction,
		}
		name := fmt.Sprintf("accounts=%d/zones=%d/requests=%d", c.accounts, c.zones, c.accounts*c.perAccount)
		b.Run(name, func(b *testing.B) {
			for range b.N {
				sim, _ := simulate(s, seed, fleetWith(allocator.Config{}))
				b.ReportMetric(sim.writesPerSecond(), "store_writes_per_s")
				b.ReportMetric(sim.writesPerSecond()/fraction, "store_writes_per_s_at_2100_accounts")
			}
		})
	}
}
