package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/dunlinquay/dunlinquay/catalog"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/settings"
	"github.com/dunlinquay/dunlinquay/site"
	"github.com/dunlinquay/dunlinquay/transport"
)

// newHall returns the commands on the halls of a site.
func newHall() *cobra.Command {
	hall := &cobra.Command{Use: "hall", Short: "Drain halls of a site and take them back"}
	hall.AddCommand(hallOrder("drain NAME", "Send nothing more to the upstreams of a hall; what runs there ends", true),
		hallOrder("uncordon NAME", "Take a drained hall back", false), hallList())
	return hall
}

func hallOrder(use, short string, drain bool) *cobra.Command {
	q := &inspection{}
	return q.flags(&cobra.Command{
		Use: use, Short: short, Args: cobra.ExactArgs(1),
		Example: "  dunlinquay hall " + use + " --settings /etc/dunlinquay/site.json",
		RunE: func(cmd *cobra.Command, args []string) error {
			addresses, err := q.addresses()
			if err != nil {
				return err
			}
			return site.OrderDrain(cmd.Context(), transport.TCPWithPeerTimeout(), addresses, catalog.DrainOrder{Hall: ident.Hall(args[0]), Drain: drain})
		},
	})
}

func hallList() *cobra.Command {
	q := &inspection{}
	return q.flags(&cobra.Command{
		Use: "list", Short: "List the halls that are drained", Args: cobra.NoArgs,
		Example: "  dunlinquay hall list --settings /etc/dunlinquay/site.json",
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := q.state(cmd)
			if err != nil {
				return err
			}
			return q.print(cmd.OutOrStdout(), s.Drained, func(t io.Writer) {
				fmt.Fprintln(t, "DRAINED HALL")
				for _, hall := range s.Drained {
					fmt.Fprintln(t, hall)
				}
			})
		},
	})
}

// addresses returns the control daemons to ask.
func (q *inspection) addresses() ([]string, error) {
	if q.control != "" {
		return []string{q.control}, nil
	}
	cfg, err := settings.LoadSite(q.file)
	if err != nil {
		return nil, err
	}
	return cfg.SeedPeers(), nil
}
