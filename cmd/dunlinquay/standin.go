package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/dunlinquay/dunlinquay/engine"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/service"
)

func newStandIn() *cobra.Command {
	e := engine.NewStandIn()
	var address, kind string
	cmd := &cobra.Command{
		Use: "standin", Short: "Run a stand-in of a model engine or a plain service", Args: cobra.NoArgs,
		Long: "Run a small stand-in, so that daemons and upstreams can be tried as separate processes. An engine's answer is\n" +
			"derived from the prompt; a service replies what it was asked and how often it has run it.",
		Example: "  dunlinquay standin --address 127.0.0.1:9101\n  dunlinquay standin --kind service --address 127.0.0.1:9201",
		RunE: func(cmd *cobra.Command, _ []string) error {
			stop := make(chan os.Signal, 1)
			signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
			start, kill := e.Start, e.Kill
			if kind == "service" {
				s := service.NewStandIn()
				s.Delay = e.TokenTime
				start, kill = s.Start, s.Kill
			} else if kind != "engine" {
				return result.New(result.Usage, "--kind: %q is neither engine nor service", kind)
			}
			if err := start(address); err != nil {
				return result.Wrap(err, result.StartFailed, "address %s cannot be opened", address)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "stand-in %s listens on %s\n", kind, address)
			<-stop
			kill()
			return nil
		},
	}
	f := cmd.Flags()
	f.StringVar(&address, "address", "127.0.0.1:9101", "host:port to listen on")
	f.StringVar(&kind, "kind", "engine", "engine or service")
	f.IntVar(&e.Slots, "slots", e.Slots, "requests that run at once")
	f.DurationVar(&e.TokenTime, "token-time", 5*time.Millisecond, "time for one token")
	f.DurationVar(&e.PrefillTime, "prefill-time", 0, "time for the prompt")
	f.DurationVar(&e.LoadTime, "load-time", time.Second, "time to load weights")
	f.BoolVar(&e.ChecksOrders, "checks-orders", true, "refuse the orders of older leaders")
	return cmd
}
