package proxy

import "github.com/prometheus/client_golang/prometheus"

// keyMetrics counts the requests that are refused for their keys.
type keyMetrics struct {
	refused *prometheus.CounterVec
}

func newKeyMetrics(reg prometheus.Registerer) keyMetrics {
	m := keyMetrics{
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilhead_gateway_key_refusals_total", Help: "Requests refused for their key, by reason.",
		}, []string{"reason"}),
	}
	reg.MustRegister(m.refused)
	return m
}
