package recorder

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/go-chi/chi/v5"
	"github.com/rcrowley/go-metrics"
)

// Sample is the value of a counter, of a gauge or of one statistic of a histogram.
type Sample struct {
	Name  string
	Value float64
}

var percentiles = []struct {
	name     string
	fraction float64
}{{"p50", 0.5}, {"p95", 0.95}, {"p99", 0.99}}

// Samples returns the values of all metrics, sorted by name.
func (r *Recorder) Samples() []Sample {
	var samples []Sample
	add := func(name string, value float64) { samples = append(samples, Sample{name, value}) }
	r.Registry().Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			add(name, float64(m.Count()))
		case metrics.Gauge:
			add(name, float64(m.Value()))
		case metrics.GaugeFloat64:
			add(name, m.Value())
		case metrics.Histogram:
			h := m.Snapshot()
			add(name+".count", float64(h.Count()))
			add(name+".max", float64(h.Max()))
			for _, p := range percentiles {
				add(name+"."+p.name, h.Percentile(p.fraction))
			}
		}
	})
	slices.SortFunc(samples, func(a, b Sample) int { return cmp.Compare(a.Name, b.Name) })
	return samples
}

// Handler serves GET /metrics with the values of all metrics: as plain text with one
// per line, or as one JSON object if the client accepts application/json.
func (r *Recorder) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get("/metrics", r.serveMetrics)
	return router
}

func (r *Recorder) serveMetrics(w http.ResponseWriter, request *http.Request) {
	samples := r.Samples()
	if strings.Contains(request.Header.Get("Accept"), "application/json") {
		writeJSON(w, samples)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	for _, s := range samples {
		_, _ = fmt.Fprintf(w, "%s %s\n", s.Name, strconv.FormatFloat(s.Value, 'f', -1, 64))
	}
}

func writeJSON(w http.ResponseWriter, samples []Sample) {
	values := make(map[string]float64, len(samples))
	for _, s := range samples {
		values[s.Name] = s.Value
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(values)
}
