package administrator

import (
	"context"
	"strings"

	"laburnumline/persister"
)

// listSection returns the page of a section that r requests. next is the last name of the
// page, after which the next page begins, or empty on the last page.
func listSection[State any](
	ctx context.Context, store persister.Store, r *request, section string, state func(persister.Entry) (State, error),
) (states []State, next string, err error) {
	after, limit, err := r.page()
	if err != nil {
		return nil, "", err
	}
	prefix := section + "/"
	if after != "" {
		after = prefix + after
	}
	page, err := store.Range(ctx, prefix, after, limit)
	if err != nil {
		return nil, "", err
	}
	states = make([]State, 0, len(page.Entries))
	for _, found := range page.Entries {
		s, err := state(found)
		if err != nil {
			return nil, "", err
		}
		states = append(states, s)
		if page.More {
			next = strings.TrimPrefix(found.Key, prefix)
		}
	}
	return states, next, nil
}
