package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/settings"
)

// version is set at build time with -ldflags "-X main.version=...".
var version = "0.1.0-dev"

func main() {
	os.Exit(execute(context.Background(), os.Args[1:]))
}

// execute runs the command line and returns the exit code of its result.
func execute(ctx context.Context, args []string) int {
	root := newRoot()
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return 0
	}
	return report(err)
}

// report prints err with what to do next and returns its exit code.
func report(err error) int {
	var faults settings.Faults
	if errors.As(err, &faults) {
		fmt.Fprintln(os.Stderr, faults.Error())
		return result.Lookup(faults[0].Code).Exit
	}
	code := result.CodeOf(err)
	if code == result.Unnamed {
		// What carries no code comes from the command line's own parser.
		code = result.Usage
		err = result.New(code, "%s", err.Error())
	}
	info := result.Lookup(code)
	fmt.Fprintln(os.Stderr, result.Text(err))
	fmt.Fprintln(os.Stderr, "what to do:", info.Next)
	return info.Exit
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "dunlinquay",
		Short: "Serve large language models whose replicas span several VMs",
		Long: "dunlinquay stands between callers and model engines: it forms serving groups from VMs, keeps them whole,\n" +
			"routes requests to whole groups only, and answers each request exactly as asked or says that it did not run.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newRun(), newSite(), newHall(), newCheck(), newKey(), newCodes(), newVersion(), newDemo(), newStandIn())
	root.AddCommand(operatorCommands()...)
	return root
}

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs, Example: "  dunlinquay version",
		RunE: func(cmd *cobra.Command, _ []string) error {
			fmt.Fprintln(cmd.OutOrStdout(), version)
			return nil
		},
	}
}

func newCodes() *cobra.Command {
	return &cobra.Command{
		Use: "codes", Short: "Print the table of result codes", Args: cobra.NoArgs, Example: "  dunlinquay codes",
		RunE: func(cmd *cobra.Command, _ []string) error {
			fmt.Fprint(cmd.OutOrStdout(), result.Markdown())
			return nil
		},
	}
}
