package throttler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Responses overtake each other. One without a limit, or with a higher one, must not end the
// limit if its request was sent before the limit was stated; a lower limit always counts.
func TestLateResponseDoesNotEndLimit(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	tests := []struct {
		name           string
		sent, received float64
		limit, want    Limit
	}{
		{"none, sent before", 0.9, 1.2, Limit{}, Limit{true, 2}},
		{"none, sent after", 1.1, 1.2, Limit{}, Limit{}},
		{"higher, sent before", 0.9, 1.2, Limit{true, 3}, Limit{true, 2}},
		{"higher, sent after", 1.1, 1.2, Limit{true, 3}, Limit{true, 3}},
		{"lower, sent before", 0.9, 1.2, Limit{true, 1}, Limit{true, 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			limits := New(Config{})
			limits.Record(1, Response{SentAt: at(0.5), ReceivedAt: at(1), Limit: Limit{true, 2}})
			limits.Record(1, Response{SentAt: at(tt.sent), ReceivedAt: at(tt.received), Limit: tt.limit})
			require.Equal(t, tt.want, limits.LimitOf(1))
			require.Equal(t, Limit{}, limits.LimitOf(2))
		})
	}
}

// An upstream that has restarted under its name has stated no limit yet.
func TestRestartedUpstreamHasAnotherID(t *testing.T) {
	require.NotEqual(t, IDOf("i-7", 1), IDOf("i-7", 2))
	require.Equal(t, IDOf("i-7", 1), IDOf("i-7", 1))
}
