package treasurer

import (
	"context"
	"sync"
)

// keyedMutex let one goroutine at a time work on a key. The zero value is ready to use.
type keyedMutex[K comparable] struct {
	mu    sync.Mutex
	locks map[K]*keyLock
}

type keyLock struct {
	slot       chan struct{}
	references int
}

// lock waits for the key and returns the function that leaves it.
func (m *keyedMutex[K]) lock(ctx context.Context, key K) (func(), error) {
	l := m.acquire(key)
	select {
	case l.slot <- struct{}{}:
		return func() { <-l.slot; m.release(key, l) }, nil
	case <-ctx.Done():
		m.release(key, l)
		return nil, context.Cause(ctx)
	}
}

func (m *keyedMutex[K]) acquire(key K) *keyLock {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.locks == nil {
		m.locks = make(map[K]*keyLock)
	}
	l, ok := m.locks[key]
	if !ok {
		l = &keyLock{slot: make(chan struct{}, 1)}
		m.locks[key] = l
	}
	l.references++
	return l
}

func (m *keyedMutex[K]) release(key K, l *keyLock) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l.references--
	if l.references == 0 {
		delete(m.locks, key)
	}
}
