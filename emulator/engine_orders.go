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

func (h *orderHandler) init(c EngineConfig) {
	h.fenced = c.Fenced
	h.anyModel = len(c.Models) == 0
	h.models = slices.Clone(c.Models)
}

// serves reports whether a model can be called.
func (h *orderHandler) serves(model string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.anyModel || slices.Contains(h.models, model)
}

func (h *orderHandler) serve(w http.ResponseWriter, r *http.Request) {
	var order dispatcher.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.fenced && order.Fence < h.highestFence {
		http.Error(w, "the fencing number is old", http.StatusConflict)
		return
	}
	h.highestFence = max(h.highestFence, order.Fence)
	h.executed = append(h.executed, order)
	h.execute(order)
	w.WriteHeader(http.StatusNoContent)
}

func (h *orderHandler) execute(order dispatcher.Order) {
	switch order.Action {
	case dispatcher.LoadModel, dispatcher.LoadAdapter:
		h.models = append(h.models, order.Target)
	case dispatcher.UnloadModel:
		h.models = slices.DeleteFunc(h.models, func(m string) bool { return m == order.Target })
	}
}

// Orders returns the orders that the engine has executed.
func (e *Engine) Orders() []dispatcher.Order {
	e.orders.mu.Lock()
	defer e.orders.mu.Unlock()
	return slices.Clone(e.orders.executed)
}
