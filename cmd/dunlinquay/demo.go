package main

import (
	"github.com/spf13/cobra"

	"github.com/dunlinquay/dunlinquay/demo"
)

func newDemo() *cobra.Command {
	d := demo.New()
	var output string
	cmd := &cobra.Command{
		Use: "demo", Short: "Show the whole path and its promises under failure, in one process", Args: cobra.NoArgs,
		Long: "Start three daemons and stand-in engines in this process, send requests, break things, and tell what happened.\n" +
			"Exit code 0 only if every promise that it checks held.",
		Example: "  dunlinquay demo\n  dunlinquay demo --output json\n  dunlinquay demo --keep",
		RunE: func(cmd *cobra.Command, _ []string) error {
			d.Out = cmd.OutOrStdout()
			d.JSON = output == "json"
			return d.Run(cmd.Context())
		},
	}
	cmd.Flags().StringVarP(&output, "output", "o", "table", "table or json")
	cmd.Flags().BoolVar(&d.Keep, "keep", false, "leave everything running and print URLs and keys")
	return cmd
}
