package server_test

import (
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumline/refuser"
)

// TestAPIPageListsEveryReason compares the table of refusal reasons in docs/API.md with
// the code. It fails if a reason or its status is changed only in one of them.
func TestAPIPageListsEveryReason(t *testing.T) {
	page, err := os.ReadFile("../docs/API.md")
	require.NoError(t, err)
	listed := make(map[string][]string)
	_, table, found := strings.Cut(string(page), "| reason | status | ran | meaning | retry |")
	require.True(t, found)
	for line := range strings.Lines(table) {
		cells := strings.Split(strings.TrimSpace(line), " | ")
		name := strings.Trim(cells[0], "|` ")
		if len(cells) != 5 || strings.HasPrefix(name, "-") {
			continue
		}
		require.NotContains(t, listed, name)
		listed[name] = cells
	}
	for _, reason := range refuser.Reasons() {
		cells := listed[reason.String()]
		require.NotNil(t, cells, "%s is not listed", reason)
		require.Equal(t, strconv.Itoa(reason.Status()), cells[1], reason.String())
		require.Contains(t, []string{"no", "unknown", "no or unknown"}, cells[2], reason.String())
		require.NotEmpty(t, cells[3])
		require.NotEmpty(t, strings.Trim(cells[4], "| "))
	}
	require.Len(t, listed, len(refuser.Reasons()))
}
