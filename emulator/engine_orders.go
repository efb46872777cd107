package emulator

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"

	"laburnumline/dispatcher"
)

// orderHandler executes orders to load and unload models, and records them.
type orderHandler struct {
	mu     sync.Mutex
	fenced bool
	// anyModel is true for an engine that serves every model.
	anyModel     bool
	models       []string
	highestFence uint64
	executed     []dispatcher.Order
}

func (b *orderHandler) init(c EngineConfig) {
	b.fenced = c.Fenced
	b.anyModel = len(c.Models) == 0
	b.models = slices.Clone(c.Models)
}

// serves reports whether a model can be called.
func (b *orderHandler) serves(model string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.anyModel || slices.Contains(b.models, model)
}

func (b *orderHandler) serve(w http.ResponseWriter, r *http.Request) {
	var order dispatcher.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.fenced && order.Fence < b.highestFence {
		http.Error(w, "the fencing number is old", http.StatusConflict)
		return
	}
	b.highestFence = max(b.highestFence, order.Fence)
	b.executed = append(b.executed, order)
	b.execute(order)
	w.WriteHeader(http.StatusNoContent)
}

func (b *orderHandler) execute(order dispatcher.Order) {
	switch order.Action {
	case dispatcher.LoadModel, dispatcher.LoadAdapter:
		b.models = append(b.models, order.Target)
	case dispatcher.UnloadModel:
		b.models = slices.DeleteFunc(b.models, func(m string) bool { return m == order.Target })
	}
}

// Orders returns the orders that the engine has executed.
func (e *Engine) Orders() []dispatcher.Order {
	e.orders.mu.Lock()
	defer e.orders.mu.Unlock()
	return slices.Clone(e.orders.executed)
}
