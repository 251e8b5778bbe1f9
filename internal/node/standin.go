package node

import (
	"context"
	"net/http"
	"time"

	"chervilhead/internal/config"
	"chervilhead/internal/coordination/edit"
	"chervilhead/internal/protocol/plat"
	"chervilhead/internal/standin/engsim"
	"chervilhead/internal/standin/pltsim"
	"chervilhead/internal/standin/svcsim"
	"chervilhead/internal/state/table"
	"chervilhead/internal/transport/httpd"
)

// StartSimulatedEngine starts a stand-in engine and its server.
func StartSimulatedEngine(cfg config.Engine) (*engsim.Engine, *httpd.Server, error) {
	weights := plat.New(plat.Settings{Weights: cfg.Weights, Timeout: time.Second}, &http.Client{})
	e := engsim.New(cfg.Engine, weights)
	srv, err := httpd.Listen(cfg.Listen, e.Handler())
	return e, srv, err
}

// StartSimulatedService starts the server of a stand-in plain service. Servers given the
// same svc share its executions; a nil svc is replaced by a new one.
func StartSimulatedService(cfg config.Service, svc *svcsim.Service) (*httpd.Server, error) {
	if svc == nil {
		svc = svcsim.New(cfg.Delay)
	}
	return httpd.Listen(cfg.Listen, svc.Handler())
}

// StartSimulatedPlatform starts the stand-in platform with the table, hosts and faults of its settings.
func StartSimulatedPlatform(cfg config.Platform) (*pltsim.Platform, *httpd.Server, error) {
	faults := &pltsim.Faults{}
	p := &pltsim.Platform{
		Faults: faults, Table: pltsim.NewTable(faults), Objects: pltsim.NewObjects(faults),
		Weights: pltsim.NewWeights(faults, cfg.LoadsPerSecond, cfg.LoadsAtOnce),
		Hosts:   pltsim.NewHosts(faults, cfg.HostLag),
	}
	t := table.New(0, cfg.Table.Groups, cfg.Table.Models, cfg.Table.Services, cfg.Table.Keys)
	if err := seedTable(p, t); err != nil {
		return nil, nil, err
	}
	for _, h := range cfg.Hosts {
		p.Hosts.Set(h)
	}
	faults.SetSchedules(cfg.Faults)
	srv, err := httpd.Listen(cfg.Listen, p.Handler())
	return p, srv, err
}

// seedTable writes the first rows to an empty table service and a copy of them to the object store.
func seedTable(p *pltsim.Platform, t table.Table) error {
	ctx := context.Background()
	if ok, err := edit.SeedTable(ctx, p.Table, t); err != nil || !ok {
		return err
	}
	first, err := edit.LoadTable(ctx, p.Table)
	if err != nil {
		return err
	}
	return edit.SaveBackup(ctx, p.Objects, edit.TableDocument(first))
}
