//go:build lockorder

package launcher

import (
	"reflect"
	"testing"

	deadlock "github.com/sasha-s/go-deadlock"
	"github.com/stretchr/testify/require"

	"laburnumline/apportioner"
	"laburnumline/archivist"
)

// Only the order of locks is checked. How long one is waited for depends on the load of the machine.
func init() { deadlock.Opts.DeadlockTimeout = 0 }

// Without the overlay of .ci/lockorder the tests would pass and check nothing.
func TestLocksReportTheirOrder(t *testing.T) {
	for _, part := range []any{frontend{}, apportioner.Apportioner{}, archivist.Archivist{}} {
		mu, ok := reflect.TypeOf(part).FieldByName("mu")
		require.True(t, ok)
		require.Equal(t, reflect.TypeFor[deadlock.Mutex](), mu.Type)
	}
}
