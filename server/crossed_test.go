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

// disturber changes the chunks of an engine at random.
type disturber struct {
	mu     sync.Mutex
	random *rand.Rand
	others []string
	crash  func()
}

const (
	calm      = 985 // of 1000 chunks
	maxOthers = 50
)

func (d *disturber) tamper(chunk string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.others = append(d.others, chunk)
	if len(d.others) > maxOthers {
		d.others = d.others[1:]
	}
	other := d.others[d.random.IntN(len(d.others))]
	if d.random.IntN(1000) < calm {
		return []string{chunk}
	}
	switch d.random.IntN(7) {
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
		return []string{chunk[:d.random.IntN(len(chunk))]}
	}
	d.crash()
	return []string{chunk}
}

// TestOwnWholeAnswerOrTruthfulRefusal disturbs the streams of callers that run
// at the same time: chunks are lost, repeated, cut, or arrive at other callers
// and attempts, and the engine crashes. Broken streams are resumed twice.
func TestOwnWholeAnswerOrTruthfulRefusal(t *testing.T) {
	const callers, calls = 6, 8
	for seed := range uint64(10) {
		config := emulator.EngineConfig{DownTime: time.Millisecond, Slots: callers}
		f := start(t, config, server.Config{})
		f.attempts = 3
		d := &disturber{random: rand.New(rand.NewPCG(seed, 0)), crash: f.emulated.Crash}
		f.emulated.SetChunkTransform(d.tamper)
		var wait sync.WaitGroup
		var mu sync.Mutex
		whole, refused := 0, 0
		for i := range callers {
			wait.Go(func() {
				for n := range calls {
					messages := fmt.Sprintf(`[{"role":"user","content":"caller %d asks %d"}]`, i, n)
					ok := checkAnswer(t, f, config, messages)
					mu.Lock()
					if ok {
						whole++
					} else {
						refused++
					}
					mu.Unlock()
				}
			})
		}
		wait.Wait()
		require.Positive(t, whole)
		t.Logf("seed %d: %d whole, %d refused", seed, whole, refused)
	}
}

// checkAnswer reports whether the answer is whole. It fails the test when the
// answer is neither whole nor refused, or has text of another one.
func checkAnswer(t *testing.T, f *fixture, config emulator.EngineConfig, messages string) bool {
	want, _ := config.ExpectedOutput("quote-model", []byte(messages), 1024)
	r := f.send(t, "POST", completions, ask(messages, `,"stream":true`))
	if r.status != http.StatusOK {
		if !strings.Contains(r.body, `"reason":`) {
			t.Errorf("status %d without a reason: %s", r.status, r.body)
		}
		return false
	}
	list, done := events(t, r.body)
	got := text(list)
	last := list[len(list)-1]
	switch {
	case done && got != want:
		t.Errorf("wrong answer %q instead of %q", got, want)
	case !done && last.Error == nil:
		t.Errorf("stream ends without an error: %q", got)
	case !done && !strings.HasPrefix(want, got):
		t.Errorf("refused answer %q is no part of %q", got, want)
	}
	return done
}
