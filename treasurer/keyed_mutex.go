package treasurer

import (
	"context"
	"sync"
)

// keyedMutex is a mutex per key. The zero value is ready to use.
type keyedMutex[K comparable] struct {
	mu    sync.Mutex
	locks map[K]*keyLock
}

// keyLock is the lock of one key. It exists while a goroutine holds or awaits it.
type keyLock struct {
	slot       chan struct{}
	references int
}

// lock locks a key and returns the function that unlocks it.
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
