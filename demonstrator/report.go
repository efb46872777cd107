package demonstrator

import (
	"context"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"laburnumline/administrator"
	"laburnumline/contractor"
)

// Report is the result of a run of the demo.
type Report struct {
	// The fields up to UnknownOutcomes are counted by the callers and described at tally.
	Requests, Attempts int
	Complete           int
	Incorrect          int
	Refused            map[string]int
	Unanswered         int
	Bookings           int
	UnknownOutcomes    int
	// BillLines counts the lines of the bill, BilledRequests the different requests in them.
	BillLines, BilledRequests int
	// AppliedBookings counts how often a booking took effect, RepeatedBookings the times beyond
	// the first of each idempotency key.
	AppliedBookings, RepeatedBookings int
	// LateCalls is the number of calls that the leaving upstream got after leaveDelay.
	LateCalls int
	Balances  []administrator.Balance
	// Overspend is the number of tokens settled beyond the prepaid ones, summed over budgets.
	Overspend contractor.Tokens
	// Violations describes each violation of a guarantee.
	Violations []string
}

// finish waits for the last settlements, checks the guarantees and writes the report.
func (s *scenario) finish(ctx context.Context) (*Report, error) {
	s.logf("wait for the last settlements")
	want := s.expectedBilledRequests()
	deadline := time.Now().Add(settlementTimeout)
	var bill *administrator.Bill
	for {
		var err error
		bill, err = s.admin.Bill(ctx, account, time.Time{}, time.Time{})
		if err != nil {
			return nil, errors.Wrap(err, "export bill")
		}
		if countBilledRequests(bill) >= want || time.Now().After(deadline) {
			break
		}
		if err := sleep(ctx, 100*time.Millisecond); err != nil {
			return nil, err
		}
	}
	state, err := s.admin.Contract(ctx, account)
	if err != nil {
		return nil, errors.Wrap(err, "show contract")
	}
	r := s.report(bill, state.Balances)
	r.check(want)
	r.write(s.config.Output)
	return r, nil
}

// expectedBilledRequests returns the number of requests that must be on the bill:
// those that have a complete response.
func (s *scenario) expectedBilledRequests() int {
	s.callers.mu.Lock()
	defer s.callers.mu.Unlock()
	return s.callers.tally.Complete + s.callers.tally.Bookings
}

func countBilledRequests(bill *administrator.Bill) int {
	keys := make(map[string]bool, len(bill.Lines))
	for _, l := range bill.Lines {
		keys[l.Request] = true
	}
	return len(keys)
}

func (s *scenario) report(bill *administrator.Bill, balances []administrator.Balance) *Report {
	s.callers.mu.Lock()
	defer s.callers.mu.Unlock()
	tally := s.callers.tally
	totals := s.booking.Totals()
	r := &Report{
		Requests: tally.Sent, Attempts: tally.Attempts, Complete: tally.Complete, Incorrect: tally.Incorrect,
		Refused: tally.Refused, Unanswered: tally.Unanswered, Bookings: tally.Bookings, UnknownOutcomes: tally.UnknownOutcomes,
		BillLines: len(bill.Lines), BilledRequests: countBilledRequests(bill),
		AppliedBookings: totals.Effects, RepeatedBookings: totals.Repeated,
		LateCalls: s.lateCalls, Balances: balances,
	}
	for _, b := range balances {
		r.Overspend += max(0, b.Settled-b.Prepaid)
	}
	return r
}

// check adds the violations of guarantees to the report.
func (r *Report) check(completeRequests int) {
	violated := func(condition bool, format string, args ...any) {
		if condition {
			r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
		}
	}
	violated(r.Overspend > 0, "%d tokens were spent beyond what was prepaid", r.Overspend)
	violated(r.Incorrect > 0, "%d callers received an answer that was not their own whole answer", r.Incorrect)
	violated(r.Unanswered > 0, "%d requests had no answer after all tries", r.Unanswered)
	violated(r.BillLines != r.BilledRequests, "%d bill lines for %d requests", r.BillLines, r.BilledRequests)
	violated(r.BilledRequests < completeRequests, "%d answered requests, %d on the bill", completeRequests, r.BilledRequests)
	violated(r.BilledRequests > r.Requests, "%d requests on the bill, %d were sent", r.BilledRequests, r.Requests)
	violated(r.RepeatedBookings > 0, "%d bookings took effect more than once", r.RepeatedBookings)
	violated(r.AppliedBookings > r.Bookings+r.UnknownOutcomes, "%d bookings took effect, callers know of %d", r.AppliedBookings, r.Bookings+r.UnknownOutcomes)
	violated(r.LateCalls > 0, "a leaving upstream got %d calls", r.LateCalls)
	for _, b := range r.Balances {
		violated(b.Settled+b.Unaccounted+b.Granted > b.Prepaid, "budget %s: settled %d, unaccounted %d and granted %d exceed prepaid %d",
			b.Budget, b.Settled, b.Unaccounted, b.Granted, b.Prepaid)
	}
}

// write writes the table and the violations.
func (r *Report) write(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "\nrequests\t%d in %d attempts\n", r.Requests, r.Attempts)
	fmt.Fprintf(t, "answered whole\t%d engine calls, %d bookings\n", r.Complete, r.Bookings)
	fmt.Fprintf(t, "outcome unknown\t%d bookings\n", r.UnknownOutcomes)
	reasons := make([]string, 0, len(r.Refused))
	for reason := range r.Refused {
		reasons = append(reasons, reason)
	}
	slices.Sort(reasons)
	for _, reason := range reasons {
		fmt.Fprintf(t, "attempts refused\t%d %s\n", r.Refused[reason], reason)
	}
	fmt.Fprintf(t, "billed\t%d lines for %d requests\n", r.BillLines, r.BilledRequests)
	fmt.Fprintf(t, "bookings in effect\t%d, repeated %d\n", r.AppliedBookings, r.RepeatedBookings)
	for _, b := range r.Balances {
		fmt.Fprintf(t, "budget %s\tprepaid %d, spent %d, unaccounted %d, granted %d, free %d\n",
			b.Budget, b.Prepaid, b.Settled, b.Unaccounted, b.Granted, b.Free)
	}
	fmt.Fprintf(t, "overspend\t%d\n", r.Overspend)
	_ = t.Flush()
	if len(r.Violations) == 0 {
		fmt.Fprintln(w, "\nevery promise was kept")
		return
	}
	for _, violation := range r.Violations {
		fmt.Fprintf(w, "\nBROKEN: %s", violation)
	}
	fmt.Fprintln(w)
}
