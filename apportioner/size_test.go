package apportioner

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
)

// TestEncodedPoolSize checks the figures of docs/CAPACITY.md. The pool is one value of the store,
// which takes up to a megabyte, and must stay far below that. The first two cases are present
// fleets; the last is the largest fleet that must be supported.
func TestEncodedPoolSize(t *testing.T) {
	tests := []struct{ accounts, members, maxSize int }{
		{10, 7, 2 << 10},
		{24, 91, 8 << 10},
		{2100, 400, 256 << 10},
	}
	for _, tt := range tests {
		p := pool{Accounts: make(map[contractor.Account]sums), Members: make(map[string]member)}
		for i := range tt.accounts {
			name := contractor.Account(fmt.Sprintf("client-account-%04d", i))
			p.Accounts[name] = sums{Granted: 5_000_000, Spent: 4_000_000, Demand: 12_345.678}
		}
		for i := range tt.members {
			p.Members[fmt.Sprintf("edge-gulf-south-a-%03d", i)] = member{Round: 12_345, Address: "10.1.0.100:17340"}
		}
		text, err := cbor.Marshal(p)
		require.NoError(t, err)
		t.Logf("%d accounts, %d members: %d bytes", tt.accounts, tt.members, len(text))
		require.Less(t, len(text), tt.maxSize)
	}
}
