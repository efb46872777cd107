package checker_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumline/checker"
)

// Guards against changes to the specification that let some order of steps overspend,
// bill twice or promise more than the balance.
func TestSpecificationHolds(t *testing.T) {
	tests := []struct {
		name     string
		config   checker.Config
		complete bool
	}{
		{"no crash", checker.Config{Prepaid: 2}, true},
		{"scarce balance", checker.Config{Prepaid: 3, Crashes: 1, MaxStates: 150_000}, false},
		{"same key in two zones", checker.Config{Prepaid: 4, Crashes: 1, SameKey: true, MaxStates: 150_000}, false},
		{"two crashes", checker.Config{Prepaid: 2, Crashes: 2, MaxStates: 150_000}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			report := checker.Explore(test.config)
			require.Nil(t, report.Violation)
			require.Equal(t, test.complete, report.Complete, "%d states", report.States)
		})
	}
}

// BenchmarkExplore explores larger configurations than the tests do.
func BenchmarkExplore(b *testing.B) {
	configs := []checker.Config{
		{Prepaid: 3, Crashes: 1},
		{Prepaid: 2, Crashes: 2},
		{Prepaid: 4, Crashes: 1, SameKey: true, MaxStates: 9_000_000},
	}
	for _, config := range configs {
		name := fmt.Sprintf("prepaid=%d/crashes=%d/same=%t", config.Prepaid, config.Crashes, config.SameKey)
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				report := checker.Explore(config)
				if report.Violation != nil {
					b.Fatal(report.Violation)
				}
				b.ReportMetric(float64(report.States), "states")
			}
		})
	}
}

// Guards against a search that passes because it does not reach the relevant states:
// with any one rule disabled it must find a violation.
func TestEveryRuleIsNeeded(t *testing.T) {
	tests := []struct {
		fault  checker.Fault
		config checker.Config
	}{
		{checker.FaultNoDeadline, checker.Config{Prepaid: 2}},
		{checker.FaultCreditFirst, checker.Config{Prepaid: 2}},
		{checker.FaultNoDedup, checker.Config{Prepaid: 4, SameKey: true}},
		{checker.FaultNoSeal, checker.Config{Prepaid: 2, Crashes: 1}},
		{checker.FaultNoWitness, checker.Config{Prepaid: 2}},
		{checker.FaultNoEpoch, checker.Config{Prepaid: 2}},
	}
	for _, test := range tests {
		t.Run(test.fault.String(), func(t *testing.T) {
			test.config.Fault = test.fault
			test.config.MaxStates = 2_000_000
			report := checker.Explore(test.config)
			require.NotNil(t, report.Violation, "%d states, complete: %t", report.States, report.Complete)
			t.Log(report.Violation)
		})
	}
}

func ExampleExplore() {
	report := checker.Explore(checker.Config{Prepaid: 2, Fault: checker.FaultNoDeadline})
	fmt.Println(report.Violation.Invariant)
	fmt.Println(report.Violation.Steps[0].Name)
	// Output:
	// more taken from unaccounted than was set aside
	// grant to 0
}
