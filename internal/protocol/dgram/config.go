package dgram

// NewerConfig tells a planner that a gateway holds a newer configuration than the planner announced.
type NewerConfig struct {
	// Version is the version of the gateway's configuration.
	Version uint64
}

func (*NewerConfig) kind() byte { return 9 }
