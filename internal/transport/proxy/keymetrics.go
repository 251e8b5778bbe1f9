package proxy

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"chervilhead/internal/coordination/watch"
)

// keyMetrics counts the requests that are refused for their keys and measures the age of the
// proof on which keys rest.
type keyMetrics struct {
	refused       *prometheus.CounterVec
	proofAge      prometheus.Histogram
	proofAgeNow   prometheus.Gauge
	configVersion prometheus.Gauge
	newestConfig  prometheus.Gauge
}

func newKeyMetrics(reg prometheus.Registerer) keyMetrics {
	m := keyMetrics{
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilhead_gateway_key_refusals_total", Help: "Requests refused for their key, by reason.",
		}, []string{"reason"}),
		proofAge: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "chervilhead_gateway_key_proof_age_seconds", Help: "Age of the proof that the configuration is the newest one, at requests that need a key.",
			Buckets: []float64{0.25, 0.5, 1, 2, 3, 4, 5, 10, 30},
		}),
		proofAgeNow: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "chervilhead_gateway_config_proof_age_seconds", Help: "Age of the proof that the configuration is the newest one; -1 if there is none.",
		}),
		configVersion: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "chervilhead_gateway_config_version", Help: "Version of the configuration in force; 0 if there is none.",
		}),
		newestConfig: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "chervilhead_gateway_config_newest_version", Help: "Highest version of the configuration that this gateway knows of, in force here or at another gateway.",
		}),
	}
	reg.MustRegister(m.refused, m.proofAge, m.proofAgeNow, m.configVersion, m.newestConfig)
	return m
}

// observeView sets the gauges from a view at a local time.
func (m keyMetrics) observeView(v *watch.View, now time.Duration) {
	m.configVersion.Set(float64(v.Config.Version))
	m.newestConfig.Set(float64(max(v.Config.Version, v.NewestConfig)))
	if !v.ConfigProven {
		m.proofAgeNow.Set(-1)
		return
	}
	m.proofAgeNow.Set((now - v.ConfigProvenAt).Seconds())
}
