package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/dunlinquay/dunlinquay/soak"
)

// plannedEvery is how many seeds there are for each one in which only planned things happen.
const plannedEvery = 4

func main() {
	ctx, end := signal.NotifyContext(context.Background(), os.Interrupt)
	err := newRoot().ExecuteContext(ctx)
	end()
	if err != nil {
		os.Exit(1)
	}
}

func newRoot() *cobra.Command {
	var first, seeds uint64
	plan := soak.Plan{}
	folder, keep := "", false
	cmd := &cobra.Command{
		Use: "soak", Short: "Play random series of faults on the real program, one run for each seed", Args: cobra.NoArgs, SilenceUsage: true,
		Long: "Each run starts a site's daemons as processes on loopback addresses, with stand-ins of callers, upstreams and an\n" +
			"operator, breaks things from outside and checks the promises by what callers and upstreams see. In every fourth\n" +
			"seed only planned things happen, and nothing may be cut off at all. Logs of runs that break a promise are kept.",
		Example: "  make build && go run ./cmd/soak --binary bin/dunlinquay --first 1 --seeds 50 --length 20s",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return run(cmd.Context(), &plan, folder, first, seeds, keep)
		},
	}
	f := cmd.Flags()
	f.Uint64Var(&first, "first", 1, "the first seed")
	f.Uint64Var(&seeds, "seeds", 1, "how many seeds to play")
	f.BoolVar(&plan.Fatal, "fatal", false, "let requests come that end what runs them, beside planned things, crashes and losses of control")
	f.BoolVar(&plan.Stops, "stops", false, "planned things only, with long streams and entries that are stopped in series")
	f.BoolVar(&plan.Replacements, "replacements", false, "replacements of control daemons and lost folders, beside planned things, crashes and losses of control")
	f.BoolVar(&plan.Halls, "halls", false, "drains of halls in series, while control daemons read late what they get, beside planned things and losses of control")
	f.DurationVar(&plan.Length, "length", 20*time.Second, "how long things are broken in each run")
	f.StringVar(&plan.Binary, "binary", "bin/dunlinquay", "the program")
	f.StringVar(&folder, "folder", "out/soak", "takes settings, logs and data")
	f.BoolVar(&keep, "keep", false, "keep the logs of runs that break nothing, too")
	f.IntVar(&plan.Controls, "controls", 5, "control daemons")
	f.IntVar(&plan.Entries, "entries", 3, "entries")
	f.IntVar(&plan.Engines, "engines", 16, "model engines")
	f.IntVar(&plan.Routes, "routes", 0, "routes that are added on the way")
	f.Float64Var(&plan.Share, "share", 0, "part of a core that each process gets, as by a quota; 0 for all that there is")
	f.IntVar(&plan.Plains, "plains", 3, "plain upstreams")
	f.IntVar(&plan.Callers, "callers", 0, "callers; 0 for the usual number")
	f.Float64Var(&plan.Allowance, "allowance", 0, "allowance of a service's retry budget over all entries; 0 for that of the settings")
	return cmd
}

// limitsOf tells how far the worst span was beyond a limit, and which part of all limits was used.
func limitsOf(list []soak.LimitRun) string {
	beyond, came, allowed := 0.0, 0, 0.0
	for i := range list {
		beyond = max(beyond, list[i].Beyond)
		came += list[i].Came
		allowed += list[i].Limit * list[i].Lasted.Seconds()
	}
	return fmt.Sprintf("  %d limits named, at most %.1f requests beyond one in some span, %d requests of %.0f", len(list), beyond, came, allowed)
}

func run(ctx context.Context, plan *soak.Plan, parent string, first, seeds uint64, keep bool) error {
	failed := 0
	for seed := first; seed < first+seeds && ctx.Err() == nil; seed++ {
		folder, err := soak.Folder(parent, seed)
		if err != nil {
			return err
		}
		p := *plan
		p.Seed, p.Folder, p.Planned = seed, folder, (seed%plannedEvery == 0 || plan.Stops) && !plan.Fatal && !plan.Replacements && !plan.Halls
		report, err := soak.Run(ctx, &p)
		if err != nil {
			return err
		}
		fmt.Printf("seed %d, planned only %v: %d promises broken, answers %v\n", seed, p.Planned, len(report.Broken), report.Answers)
		if len(report.Limits) > 0 {
			fmt.Println(limitsOf(report.Limits))
		}
		if len(report.Broken) == 0 {
			if !keep {
				_ = os.RemoveAll(folder)
			}
			continue
		}
		failed++
		text := "broken:\n" + strings.Join(report.Broken, "\n") + "\n\ndone:\n" + strings.Join(report.Notes, "\n") + "\n"
		fmt.Println(text)
		if err := os.WriteFile(filepath.Join(folder, "report.txt"), []byte(text), 0o600); err != nil {
			return err
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d seeds broke a promise", failed, seeds)
	}
	return nil
}
