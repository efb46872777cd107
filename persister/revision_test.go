package persister_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
	"laburnumline/persister"
)

func ExampleNewRevision() {
	before, after := persister.NewRevision(1, 900), persister.NewRevision(2, 850)
	fmt.Println(after > before, persister.EraOf(after), persister.NumberOf(after))
	// Output: true 2 850
}

// A key that does not exist has revision zero in each era, and a store without eras keeps its numbers.
func TestRevisionWithoutEra(t *testing.T) {
	require.Zero(t, persister.NewRevision(7, 0))
	require.Equal(t, contractor.Revision(900), persister.NewRevision(0, 900))
	require.Zero(t, persister.EraOf(900))
}
