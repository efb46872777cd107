package administrator_test

import (
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/go-chi/chi/v5"
	"github.com/stretchr/testify/require"

	"laburnumline/administrator"
)

// Guards against documentation that is out of date: the operators' page must list exactly
// the routes that are served, and every type of problem.
func TestDocumentationListsEveryRouteAndProblemType(t *testing.T) {
	raw, err := os.ReadFile("../docs/api-operators.md")
	require.NoError(t, err)
	var documented []string
	for _, m := range regexp.MustCompile("(?m)^\\| `([A-Z]+ /v1/[^`?]*)").FindAllStringSubmatch(string(raw), -1) {
		documented = append(documented, m[1])
	}
	var served []string
	routes, ok := newFixture(t).server.Config.Handler.(chi.Routes)
	require.True(t, ok)
	err = chi.Walk(routes, func(method, route string, _ http.Handler, _ ...func(http.Handler) http.Handler) error {
		served = append(served, method+" "+route)
		return nil
	})
	require.NoError(t, err)
	slices.Sort(documented)
	slices.Sort(served)
	require.Equal(t, served, documented)
	for _, kind := range administrator.ProblemTypes() {
		require.True(t, strings.Contains(string(raw), "| `"+kind+"` |"), kind)
	}
}
