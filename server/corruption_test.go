package server_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/emulator"
	"laburnumline/server"
)

// corrupter drops, repeats, replaces or truncates chunks of an engine at random.
type corrupter struct {
	mu     sync.Mutex
	random *rand.Rand
	recent []string // chunks of all streams
	crash  func()
}

const (
	intactPerMille = 985
	maxRecent      = 50
)

func (c *corrupter) corrupt(chunk string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recent = append(c.recent, chunk)
	if len(c.recent) > maxRecent {
		c.recent = c.recent[1:]
	}
	other := c.recent[c.random.IntN(len(c.recent))]
	if c.random.IntN(1000) < intactPerMille {
		return []string{chunk}
	}
	switch c.random.IntN(7) {
	case 0:
		return nil
	case 1:
		return []string{chunk, chunk}
	case 2:
		return []string{other}
	case 3:
		return []string{other, chunk}
	case 4:
		return []string{chunk, other, other}
	case 5:
		return []string{chunk[:c.random.IntN(len(chunk))]}
	}
	c.crash()
	return []string{chunk}
}

// Guards against responses that are incomplete without an error, or contain text of
// another caller. Concurrent streams lose, repeat and truncate chunks, receive chunks of
// other callers and attempts, and end when the engine crashes. A broken stream is resumed
// up to two times.
func TestCorruptedStreamsEndCompleteOrRefused(t *testing.T) {
	const callers, calls = 6, 8
	for seed := range uint64(10) {
		config := emulator.EngineConfig{DownTime: time.Millisecond, Slots: callers}
		f := newFixture(t, config, server.Config{})
		f.attempts = 3
		c := &corrupter{random: rand.New(rand.NewPCG(seed, 0)), crash: f.emulatedEngine.Crash}
		f.emulatedEngine.SetChunkTransform(c.corrupt)
		var wait sync.WaitGroup
		var mu sync.Mutex
		complete, refused := 0, 0
		for i := range callers {
			wait.Go(func() {
				for n := range calls {
					messages := fmt.Sprintf(`[{"role":"user","content":"caller %d asks %d"}]`, i, n)
					ok := checkResponse(t, f, config, messages)
					mu.Lock()
					if ok {
						complete++
					} else {
						refused++
					}
					mu.Unlock()
				}
			})
		}
		wait.Wait()
		require.Positive(t, complete)
		t.Logf("seed %d: %d complete, %d refused", seed, complete, refused)
	}
}

// checkResponse reports whether the response is complete. It fails the test if the
// response is neither complete nor refused, or contains text of another response.
func checkResponse(t *testing.T, f *fixture, config emulator.EngineConfig, messages string) bool {
	want, _ := config.ExpectedOutput("quote-model", []byte(messages), 1024)
	r := f.send(t, "POST", completions, chatBody(messages, `,"stream":true`))
	if r.status != http.StatusOK {
		if !strings.Contains(r.body, `"reason":`) {
			t.Errorf("status %d without a reason: %s", r.status, r.body)
		}
		return false
	}
	list, done := parseEvents(t, r.body)
	got := joinText(list)
	last := list[len(list)-1]
	switch {
	case done && got != want:
		t.Errorf("wrong response %q instead of %q", got, want)
	case !done && last.Error == nil:
		t.Errorf("stream ends without an error: %q", got)
	case !done && !strings.HasPrefix(want, got):
		t.Errorf("refused response %q is no prefix of %q", got, want)
	}
	return done
}
