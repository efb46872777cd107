package recorder_test

import (
	"fmt"
	"strings"

	"laburnumline/recorder"
	"laburnumline/refuser"
)

func ExampleRecorder() {
	r := recorder.New()
	r.CountRefusal(refuser.QueueFull)
	r.CountRetry("connect")
	for _, s := range r.Samples() {
		if s.Value > 0 && !strings.HasPrefix(s.Name, "event.") {
			fmt.Println(s.Name, s.Value)
		}
	}
	// Output:
	// refused.queue_full 1
	// retried.connect 1
}
