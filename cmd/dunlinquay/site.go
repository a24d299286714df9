package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/spf13/cobra"

	"github.com/dunlinquay/dunlinquay/clock"
	"github.com/dunlinquay/dunlinquay/eventlog"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/platform"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/settings"
	"github.com/dunlinquay/dunlinquay/site"
	"github.com/dunlinquay/dunlinquay/transport"
	"github.com/dunlinquay/dunlinquay/unread"
)

const (
	// memoryPart is the part of the VM's memory that the garbage collector aims to stay under; stacks, buffers of the
	// kernel and the runtime need the rest.
	memoryPart = 0.6
	// garbagePercent trades memory, of which there is enough, for processor time, of which there is little.
	garbagePercent = 400
)

func newSite() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use: "site", Short: "Run one daemon of a self-forming site", Args: cobra.NoArgs,
		Long: "Run one daemon that is given a few seeds and finds all others: a control daemon when the settings name a data\n" +
			"folder, an entry for callers otherwise. SIGTERM begins a planned stop, SIGHUP reads the settings again.",
		Example: "  dunlinquay site --settings /etc/dunlinquay/site.json",
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := settings.LoadSite(file)
			if err != nil {
				return err
			}
			return runSite(cmd.Context(), cfg, file)
		},
	}
	cmd.Flags().StringVar(&file, "settings", "", "the settings file")
	_ = cmd.MarkFlagRequired("settings")
	cmd.AddCommand(siteGroups(), siteExplain(), siteRelease(), siteLoad())
	return cmd
}

func runSite(ctx context.Context, cfg *settings.Site, file string) error {
	debug.SetMemoryLimit(int64(memoryPart * float64(cfg.MemoryMB) * (1 << 20)))
	debug.SetGCPercent(garbagePercent)
	log := eventlog.New(os.Stdout)
	logCtx, endLog := context.WithCancel(context.Background())
	go log.Run(logCtx)
	logSuspensions(log.EventLogger())
	defer log.Flush()
	defer endLog()
	reread := func() (*settings.Site, error) { return settings.LoadSite(file) }
	if cfg.DataFolder != "" {
		return runControl(ctx, cfg, log, reread)
	}
	return runEntry(ctx, cfg, log, reread)
}

// logSuspensions logs for how long the VM was suspended: leases, keys and news have aged by that.
func logSuspensions(log logr.Logger) {
	clock.OnAwake(func(away time.Duration) { log.Info("the VM was suspended", "for-ms", away.Milliseconds()) })
}

// namesOf returns the headers of the platform, and those that the settings declare.
func namesOf(cfg *settings.Site) relay.HeaderNames {
	names := platform.HeaderNames()
	names.Application = append(names.Application, cfg.ApplicationHeaders...)
	return names
}

func runControl(ctx context.Context, cfg *settings.Site, log *eventlog.Log, reread func() (*settings.Site, error)) error {
	c, err := site.NewControl(cfg)
	if err != nil {
		return err
	}
	c.Log = log.EventLogger()
	names := namesOf(cfg)
	c.Unrecognized = unread.New[ident.Incarnation](names.Recognized()...)
	c.Dial = transport.TCPWithPeerTimeout()
	c.DecodeConfig = platform.DecodeAcceptedConfig
	orders, paces := platform.NewOrderClient(transport.TCPWithPeerTimeout()), platform.NewSlowdownClient(transport.TCPWithPeerTimeout())
	orders.OnNotice, paces.OnNotice = c.ApplyNotice, c.ApplyNotice
	c.SendOrder, c.QuerySlowdown = orders.Send, paces.Query
	calls := &platform.Control{
		ApplyReport: c.Report, SignOff: c.Leave, ReplaceConfig: c.Replace, ReadConfig: c.Read, ApplyDrainOrder: c.Drain, LogRefusedConfig: c.LogRefusedConfig,
		LogUnusableReport: c.LogUnusableReport, NoteUnrecognizedReportFields: c.NoteUnrecognizedReportFields, LogUnrecognizedConfigFields: c.LogUnrecognizedConfigFields,
	}
	c.Handler = calls.Handler()
	c.LoadSettings = reread
	onSignals(c.Stop, c.Reload)
	return c.Run(ctx)
}

func runEntry(ctx context.Context, cfg *settings.Site, log *eventlog.Log, reread func() (*settings.Site, error)) error {
	e := site.NewEntry(cfg, namesOf(cfg), transport.TCPWithPeerTimeout())
	e.Log = log.EventLogger()
	e.RequestLog = log.RequestLogger()
	e.DecodeConfig = platform.DecodeAcceptedConfig
	e.ReadyHandler = platform.ReadyHandler
	e.LoadSettings = reread
	onSignals(e.Stop, e.Reload)
	return e.Run(ctx)
}

// onSignals calls stop at SIGTERM and SIGINT, and reload at SIGHUP.
func onSignals(stop, reload func()) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		for sig := range signals {
			if sig == syscall.SIGHUP {
				reload()
				continue
			}
			stop()
		}
	}()
}
