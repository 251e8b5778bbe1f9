package telemetry

import (
	"regexp"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// liveHeap selects the heap that the last garbage collection found in use. The metrics that
// client_golang exports by default count garbage too.
var liveHeap = collectors.GoRuntimeMetricsRule{Matcher: regexp.MustCompile(`^/gc/heap/live:bytes$`)}

// NewRegistry returns a registry with the metrics of the process and of the Go runtime.
func NewRegistry() *prometheus.Registry {
	reg := prometheus.NewRegistry()
	reg.MustRegister(
		collectors.NewGoCollector(collectors.WithGoCollectorRuntimeMetrics(liveHeap)),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return reg
}

// documentVersions collects the version held of each kind of document.
type documentVersions struct {
	desc     *prometheus.Desc
	versions func() map[string]uint64
}

// RegisterDocumentVersions registers a metric of the document versions that a process holds,
// by kind; versions is called at each collection.
func RegisterDocumentVersions(reg prometheus.Registerer, versions func() map[string]uint64) {
	reg.MustRegister(documentVersions{
		desc:     prometheus.NewDesc("chervilhead_document_version", "Version held of a document, by kind.", []string{"kind"}, nil),
		versions: versions,
	})
}

// Describe implements prometheus.Collector.
func (d documentVersions) Describe(ch chan<- *prometheus.Desc) { ch <- d.desc }

// Collect implements prometheus.Collector.
func (d documentVersions) Collect(ch chan<- prometheus.Metric) {
	for kind, v := range d.versions() {
		ch <- prometheus.MustNewConstMetric(d.desc, prometheus.GaugeValue, float64(v), kind)
	}
}
