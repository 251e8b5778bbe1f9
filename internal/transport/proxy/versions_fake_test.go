package proxy

// fakeKeepers keep the records of streams for all gateways.
type fakeKeepers struct{}

// versionPlane is a control plane with keepers.
type versionPlane struct {
	fakeControlPlane
	keepers *fakeKeepers
}

// observe tells the handler of a new view.
func (g *versionGateway) observe() {}
