package certifier_test

import (
	"fmt"
	"time"

	"laburnumline/certifier"
)

func ExampleAuthority() {
	fleet, err := certifier.NewAuthority("fleet", 24*time.Hour)
	if err != nil {
		fmt.Println(err)
		return
	}
	pair, err := fleet.Issue(certifier.Request{VM: "entry-1", Lifetime: time.Hour})
	if err != nil {
		fmt.Println(err)
		return
	}
	keys, err := certifier.NewCredentials(pair, fleet.Certificate())
	if err != nil {
		fmt.Println(err)
		return
	}
	vm, ok := certifier.VMOf(keys.Certificate.Leaf)
	fmt.Println(vm, ok)
	// Output: entry-1 true
}
