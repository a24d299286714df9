package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/spf13/cobra"

	"github.com/dunlinquay/dunlinquay/daemon"
	"github.com/dunlinquay/dunlinquay/keys"
	"github.com/dunlinquay/dunlinquay/settings"
)

// newLog writes one JSON object a line to w.
func newLog(w io.Writer, verbosity int) logr.Logger {
	var mu sync.Mutex
	write := func(line string) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintln(w, line)
	}
	return funcr.NewJSON(write, funcr.Options{LogTimestamp: true, Verbosity: verbosity})
}

func newRun() *cobra.Command {
	var file string
	var verbosity int
	cmd := &cobra.Command{
		Use: "run", Short: "Run one daemon", Args: cobra.NoArgs,
		Long: "Run one daemon until it is told to stop. The first SIGTERM or SIGINT begins a planned stop, which cuts off nothing\n" +
			"in progress; a second one ends the daemon at once.",
		Example: "  dunlinquay run --settings /etc/dunlinquay/settings.json",
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := settings.Load(file)
			if err != nil {
				return err
			}
			return runDaemon(cmd.Context(), cfg, newLog(os.Stderr, verbosity))
		},
	}
	cmd.Flags().StringVar(&file, "settings", "", "the settings file")
	cmd.Flags().IntVarP(&verbosity, "verbosity", "v", 0, "1 also logs every request and order")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

func runDaemon(ctx context.Context, cfg *settings.Settings, log logr.Logger) error {
	d, err := daemon.New(cfg, daemon.TCPNetwork())
	if err != nil {
		return err
	}
	d.Log = log
	logSuspensions(log)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	ctx, end := context.WithCancel(ctx)
	defer end()
	go func() {
		<-signals
		stopping, cut := context.WithCancel(ctx)
		go func() {
			<-signals
			cut()
		}()
		d.Stop(stopping)
		end()
	}()
	return d.Run(ctx)
}

func newCheck() *cobra.Command {
	return &cobra.Command{
		Use: "check FILE", Short: "Check a settings file and start nothing", Args: cobra.ExactArgs(1),
		Example: "  dunlinquay check examples/loopback/a.json",
		RunE: func(cmd *cobra.Command, args []string) error {
			cfg, err := settings.Load(args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: settings of daemon %s are good\n", args[0], cfg.Name)
			return nil
		},
	}
}

func newKey() *cobra.Command {
	return &cobra.Command{
		Use: "key", Short: "Make a key and the hash that settings store", Args: cobra.NoArgs, Example: "  dunlinquay key",
		RunE: func(cmd *cobra.Command, _ []string) error {
			key := keys.New()
			fmt.Fprintf(cmd.OutOrStdout(), "key:  %s\nhash: %s\n", key, keys.Hash(key))
			return nil
		},
	}
}
