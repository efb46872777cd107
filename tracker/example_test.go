package tracker_test

import (
	"context"
	"fmt"
	"net/netip"

	"laburnumline/messenger"
	"laburnumline/tracker"
)

// emptyList is a VM list without VMs.
type emptyList struct{}

func (emptyList) List(context.Context) ([]tracker.ListedVM, error) { return nil, nil }

func ExampleTracker() {
	self := messenger.Peer{
		VM:          "entry-1",
		Zone:        "zone-a",
		Incarnation: 1,
		Address:     netip.MustParseAddrPort("10.0.0.11:7443"),
	}
	var loopback messenger.Loopback
	mux := &messenger.Mux{}
	loopback.Attach(self.VM, mux)
	t := tracker.New(tracker.Config{Self: self, Lister: emptyList{}, Caller: loopback.Caller(self), Mux: mux})

	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- t.Run(ctx) }()
	<-t.Ready()
	keeper, ok := t.Keeper("zone-a", "loft-7")
	fmt.Println(keeper, ok)
	cancel()
	fmt.Println(<-done)
	// Output:
	// entry-1#1 at 10.0.0.11:7443 true
	// <nil>
}
