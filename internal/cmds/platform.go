package cmds

import (
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"chervilhead/internal/config"
	"chervilhead/internal/node"
	"chervilhead/internal/telemetry"
	"chervilhead/platform"
)

// memoryShare is the part of the process's memory that the heap may take before the
// collector works harder; the rest is for stacks and buffers of the kernel.
const memoryShare = 0.7

// logLines is the number of log lines that may wait for the output.
const logLines = 2048

func newGateway() *cobra.Command {
	return settingsFromEnv(role("gateway", "Run a gateway on the users' platform", func(cmd *cobra.Command, file string) (process, error) {
		cfg, err := config.LoadRole[*config.Gateway](file)
		if err != nil {
			return process{}, err
		}
		p, err := newPlatformProcess(cmd, file, cfg.LogLevel, "gateway", cfg.Resources)
		if err != nil {
			return process{}, err
		}
		src := platform.NewStore(cfg.Store.Address, cfg.Store.Timeout, p.reg)
		g, err := node.StartGateway(*cfg, src, platform.Headers(), p.reg, p.log)
		if err != nil {
			return process{}, err
		}
		return process{stop: func() { g.Stop(); p.close() }}, nil
	}))
}

func newKeeper() *cobra.Command {
	return settingsFromEnv(role("keeper", "Run the keeper beside a model engine on the users' platform", func(cmd *cobra.Command, file string) (process, error) {
		cfg, err := config.LoadRole[*config.Keeper](file)
		if err != nil {
			return process{}, err
		}
		p, err := newPlatformProcess(cmd, file, cfg.LogLevel, "keeper", cfg.Resources)
		if err != nil {
			return process{}, err
		}
		src := platform.NewStore(cfg.Store.Address, cfg.Store.Timeout, p.reg)
		k, err := node.StartKeeper(*cfg, platform.NewEngine(cfg.Endpoint.Address, node.EngineTimeout), src, p.reg, p.log)
		if err != nil {
			return process{}, err
		}
		return process{stop: func() { k.Stop(); p.close() }}, nil
	}))
}

// settingsFromEnv lets the platform's variable stand in for the flag --settings.
func settingsFromEnv(cmd *cobra.Command) *cobra.Command {
	if path := os.Getenv(platform.SettingsVariable); path != "" {
		f := cmd.Flags().Lookup("settings")
		f.DefValue = path
		if err := f.Value.Set(path); err == nil {
			delete(f.Annotations, cobra.BashCompOneRequiredFlag)
		}
	}
	return cmd
}

// platformProcess is what a process on the platform has: a registry and a log that never blocks.
type platformProcess struct {
	reg   *prometheus.Registry
	log   *logrus.Entry
	close func()
}

func newPlatformProcess(cmd *cobra.Command, file, level, service string, res config.ResourceLimits) (*platformProcess, error) {
	// A process has a part of one core; more threads only take turns.
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(memoryShare * float64(res.MemoryMB<<20)))
	reg := telemetry.NewRegistry()
	out := telemetry.NewAsyncWriter(cmd.OutOrStdout(), logLines, reg)
	log, err := telemetry.NewLogger(out, level)
	if err != nil {
		return nil, err
	}
	entry := log.WithField("service", service)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go func() {
		for range hup {
			reload(file, log, entry)
		}
	}()
	return &platformProcess{reg: reg, log: entry, close: func() { signal.Stop(hup); out.Close() }}, nil
}

// reload reads the settings file again. The log level is taken over at once; whatever
// else changed holds from the next start.
func reload(file string, log *logrus.Logger, entry *logrus.Entry) {
	s, err := config.Load(file)
	if err != nil {
		entry.WithError(err).Error("the settings file was not taken over")
		return
	}
	level := ""
	switch s := s.(type) {
	case *config.Gateway:
		level = s.LogLevel
	case *config.Keeper:
		level = s.LogLevel
	}
	if l, err := logrus.ParseLevel(level); err == nil {
		log.SetLevel(l)
	}
	entry.WithField("log_level", log.GetLevel().String()).Info("the settings file was read again")
}
