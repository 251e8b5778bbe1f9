package proxy

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/resume"
)

// settledGateway starts a gateway that has seen only some endpoints, which are of one version.
func (f *versionFleet) settledGateway(domain string, seen ...fleet.Endpoint) *versionGateway {
	all := f.endpoints
	f.endpoints = seen
	g := f.gateway(domain, 1)
	f.endpoints = all
	g.handler.RestoreVersions(resume.Row{"s": {seen[0].SoftwareVersion: {Present: true}}})
	return g
}

// TestResumptionAtGatewayOutOfStep guards against a stream that goes on at the old software version at a gateway that has yet to learn of the new one, at which another gateway began it.
func TestResumptionAtGatewayOutOfStep(t *testing.T) {
	for _, keepersSilent := range []bool{false, true} {
		for _, keepersKnow := range []bool{false, true} {
			for _, storeAnswers := range []bool{false, true} {
				for _, mention := range []string{"r1", "", "bad\x01"} {
					t.Run(fmt.Sprintf("keepers silent %v, know %v, store answers %v, names %q", keepersSilent, keepersKnow, storeAnswers, mention), func(t *testing.T) {
						f := newVersionFleet(t, "one", "two", "one")
						x, y := f.gateway("z1", 1), f.settledGateway("z0", f.endpoints[0], f.endpoints[2])
						y.handler.cfg.ConfirmEndpoints = func(context.Context) error {
							if !storeAnswers {
								return errors.New("cut off from the store")
							}
							f.list(y, f.endpoints...)
							return nil
						}
						first := f.begin(x, "r1")
						if got := versionsIn(first); got[0] != "two" {
							t.Fatalf("the stream began at version %s", got[0])
						}
						f.keepers.silent.Store(keepersSilent)
						f.keepers.forgotten.Store(!keepersKnow)
						var a response
						if mention == "bad\x01" {
							// A value that names no request.
							a = f.call(y, "r2", "r1", "Resumes", "")
						} else {
							a = f.call(y, "r2", "", "Last-Event-Id", "2", "Resumes", mention)
						}
						for _, v := range versionsIn(a) {
							if v != "two" {
								t.Errorf("the stream goes on with an event of version %s", v)
							}
						}
						if !keepersSilent && keepersKnow && mention == "r1" && storeAnswers {
							expectOneVersion(t, first, a)
						}
					})
				}
			}
		}
	}
}

// TestEndpointBackAtGatewayOutOfStep guards against a stream that goes on at an endpoint which came back under its id with another version, at a gateway that neither keepers nor the store tell so.
func TestEndpointBackAtGatewayOutOfStep(t *testing.T) {
	for _, reports := range []bool{false, true} {
		for _, storeAnswers := range []bool{false, true} {
			t.Run(fmt.Sprintf("keepers report %v, store answers %v", reports, storeAnswers), func(t *testing.T) {
				f := newVersionFleet(t, "one", "two")
				g := f.settledGateway("z0", f.endpoints[0])
				first := f.begin(g, "r1")
				// The endpoint of version two came back under the id of a third one, of version one.
				back := f.endpoints[1]
				back.ID, back.SoftwareVersion = "e2", "one"
				current := f.endpoints[1]
				current.ID, current.Incarnation = "e2", 2
				f.list(g, back)
				g.handler.cfg.ConfirmEndpoints = func(context.Context) error {
					if !storeAnswers {
						return errors.New("cut off from the store")
					}
					f.list(g, current)
					return nil
				}
				if reports {
					states := slices.Clone(*g.states.Load())
					states[0].StatusSupersedes, states[0].Status = true, fleet.Status{ReceivedAt: time.Now(), Incarnation: 2, Alive: true, Models: back.Models}
					g.states.Store(&states)
				}
				if got := versionsIn(first); got[0] != "one" {
					t.Fatalf("the stream began at version %s", got[0])
				}
				expectRejected(t, f.call(g, "r2", "r1"))
			})
		}
	}
}
