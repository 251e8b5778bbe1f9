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

// runtimeMemoryFraction is the fraction of the process's memory that is the Go runtime's soft
// limit, above which it collects more often; the rest is for the program itself, kernel stacks and
// buffers.
const runtimeMemoryFraction = 0.75

// logBufferLines bounds the log lines buffered for the output; lines beyond it are dropped.
const logBufferLines = 2048

func newGateway() *cobra.Command {
	return settingsFromEnv(newRoleCommand("gateway", "Run a gateway on the users' platform", func(cmd *cobra.Command, file string) (process, error) {
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
	return settingsFromEnv(newRoleCommand("keeper", "Run the keeper beside a model engine on the users' platform", func(cmd *cobra.Command, file string) (process, error) {
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

// settingsFromEnv makes the platform's environment variable, if set, the default of --settings.
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

// platformProcess holds the metrics registry and non-blocking log of a process on the users' platform.
type platformProcess struct {
	reg   *prometheus.Registry
	log   *logrus.Entry
	close func()
}

func newPlatformProcess(cmd *cobra.Command, file, level, service string, res config.ResourceLimits) (*platformProcess, error) {
	// The process gets a fraction of one core, so parallel threads would only take turns.
	runtime.GOMAXPROCS(1)
	limitMemory(res.MemoryMB)
	reg := telemetry.NewRegistry()
	out := telemetry.NewAsyncWriter(cmd.OutOrStdout(), logBufferLines, reg)
	log, err := telemetry.NewLogger(out, level)
	if err != nil {
		return nil, err
	}
	entry := log.WithField("service", service)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go func() {
		for range hup {
			reloadSettings(file, log, entry)
		}
	}()
	return &platformProcess{reg: reg, log: entry, close: func() { signal.Stop(hup); out.Close() }}, nil
}

// limitMemory makes the Go runtime collect more often when the process nears its memory.
func limitMemory(mb int64) {
	debug.SetMemoryLimit(int64(runtimeMemoryFraction * float64(mb<<20)))
}

// reloadSettings reads the settings file again and applies its log level. Other changes take
// effect at the next start.
func reloadSettings(file string, log *logrus.Logger, entry *logrus.Entry) {
	s, err := config.Load(file)
	if err != nil {
		entry.WithError(err).Error("settings file not reloaded; the earlier log level stays")
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
	entry.WithField("log_level", log.GetLevel().String()).Info("settings file reloaded; changes other than the log level take effect at the next start")
}
