package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/dunlinquay/dunlinquay/fleet"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/operator"
	"github.com/dunlinquay/dunlinquay/result"
)

const keyVariable = "DUNLINQUAY_KEY"

// session is what every operator command shares.
type session struct {
	url    string
	key    string
	output string
	change string
	ifRev  uint64
}

func (s *session) flags(cmd *cobra.Command) *cobra.Command {
	f := cmd.Flags()
	f.StringVar(&s.url, "daemon", "http://127.0.0.1:8001", "URL of any daemon's operators' address")
	f.StringVar(&s.key, "key", "", "operator's key (default: the variable "+keyVariable+")")
	f.StringVarP(&s.output, "output", "o", "table", "table or json")
	return cmd
}

func (s *session) changeFlags(cmd *cobra.Command) *cobra.Command {
	f := s.flags(cmd).Flags()
	f.StringVar(&s.change, "change-id", "", "id of the change; send the same one again after a lost answer (default: a new one)")
	f.Uint64Var(&s.ifRev, "if-revision", 0, "refuse if the object changed after this revision")
	return cmd
}

func (s *session) client() *operator.Client {
	key := s.key
	if key == "" {
		key = os.Getenv(keyVariable)
	}
	return operator.NewClient(s.url, key)
}

// print writes v as JSON, or lets table write rows for people.
func (s *session) print(w io.Writer, v any, table func(t io.Writer)) error {
	switch s.output {
	case "json":
		return json.NewEncoder(w).Encode(v)
	case "table":
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		table(t)
		return t.Flush()
	}
	return result.New(result.Usage, "--output: %q is neither table nor json", s.output)
}

// send sends a change and prints the revision that accepted it.
func (s *session) send(cmd *cobra.Command, c *operator.Change) error {
	c.ID, c.IfRevision = ident.Change(s.change), ident.Revision(s.ifRev)
	if c.ID == "" {
		c.ID = ident.NewChange()
	}
	revision, err := s.client().Change(cmd.Context(), c)
	if code := result.CodeOf(err); code == result.NoLeader || code == result.DaemonUnreached {
		fmt.Fprintf(cmd.ErrOrStderr(), "the answer is lost; to ask again: --change-id %s\n", c.ID)
	}
	if err != nil {
		return err
	}
	return s.print(cmd.OutOrStdout(), operator.Accepted{Revision: revision}, func(t io.Writer) {
		fmt.Fprintf(t, "accepted at revision %d; in force everywhere? dunlinquay wait %d\n", revision, revision)
	})
}

func operatorCommands() []*cobra.Command {
	return []*cobra.Command{
		groupCommand(), vmCommand(), customerCommand(), controlCommand(), statusCommand(), changesCommand(), waitCommand(),
		explainCommand(), watchCommand(),
	}
}

func customerCommand() *cobra.Command {
	s := &session{}
	var l fleet.CustomerLimits
	limits := s.changeFlags(&cobra.Command{
		Use: "limits NAME", Short: "Set a customer's limits over all daemons; 0 is no limit", Args: cobra.ExactArgs(1),
		Example: "  dunlinquay customer limits roadservice --concurrent 40 --requests-per-second 20 --weight 2",
		RunE: func(cmd *cobra.Command, args []string) error {
			return s.send(cmd, &operator.Change{Limits: &operator.LimitChange{Customer: ident.Customer(args[0]), Limits: l}})
		},
	})
	f := limits.Flags()
	f.Float64Var(&l.Weight, "weight", 1, "share against other customers when requests wait")
	f.IntVar(&l.Concurrent, "concurrent", 0, "requests at once")
	f.Float64Var(&l.RequestsPerSecond, "requests-per-second", 0, "request rate")
	f.Float64Var(&l.TokensPerSecond, "tokens-per-second", 0, "token rate, prompts included")
	customer := &cobra.Command{Use: "customer", Short: "Set customers' limits"}
	customer.AddCommand(limits)
	return customer
}

func controlCommand() *cobra.Command {
	s := &session{}
	admit := s.flags(&cobra.Command{
		Use: "admit NAME", Short: "Take in a control member that has a new data folder", Args: cobra.ExactArgs(1),
		Long: "Take in a control member whose data folder is new, in the place of the one that was lost. It is caught up first and\n" +
			"then gets its vote; the others serve meanwhile.",
		Example: "  dunlinquay control admit b",
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := s.client().Admit(cmd.Context(), ident.Daemon(args[0])); err != nil {
				return err
			}
			return s.print(cmd.OutOrStdout(), struct{}{}, func(t io.Writer) { fmt.Fprintf(t, "%s is being caught up\n", args[0]) })
		},
	})
	control := &cobra.Command{Use: "control", Short: "Look after control members"}
	control.AddCommand(admit)
	return control
}

func statusCommand() *cobra.Command {
	s := &session{}
	return s.flags(&cobra.Command{
		Use: "status", Short: "Show daemons, leader, groups and stranded accelerators", Args: cobra.NoArgs, Example: "  dunlinquay status",
		RunE: func(cmd *cobra.Command, _ []string) error {
			st, err := s.client().Status(cmd.Context())
			if err != nil {
				return err
			}
			return s.print(cmd.OutOrStdout(), st, func(t io.Writer) { statusTable(t, &st) })
		},
	})
}

func statusTable(t io.Writer, st *operator.Status) {
	fmt.Fprintf(t, "daemon\t%s (%s)\nleader\t%s, term %d\nrevision\t%d\nserving\t%t %s\n",
		st.Daemon, st.Role, st.Leader, st.Term, st.Revision, st.Serving, st.Reason)
	fmt.Fprintf(t, "groups\t%d of %d whole\nvms\t%d\nstranded accelerators\t%d\n", st.Whole, st.Groups, st.VMs, st.Stranded)
	fmt.Fprintf(t, "since its start\tgroup downtime %s, stranded accelerator time %s\n",
		time.Duration(st.DownMillis)*time.Millisecond, time.Duration(st.StrandedMillis)*time.Millisecond)
	fmt.Fprintln(t, "\nDAEMON\tHALL\tLIVE\tREVISION\tHEARD")
	for _, d := range st.Daemons {
		fmt.Fprintf(t, "%s\t%s\t%t\t%d\t%d ms ago\n", d.Name, d.Hall, d.Live, d.Revision, d.HeardMillis)
	}
}

func changesCommand() *cobra.Command {
	s := &session{}
	var limit int
	cmd := s.flags(&cobra.Command{
		Use: "changes", Short: "Show the newest changes: who, when, what, and the answer", Args: cobra.NoArgs, Example: "  dunlinquay changes --limit 10",
		RunE: func(cmd *cobra.Command, _ []string) error {
			list, err := s.client().History(cmd.Context(), limit)
			if err != nil {
				return err
			}
			return s.print(cmd.OutOrStdout(), list, func(t io.Writer) {
				fmt.Fprintln(t, "REVISION\tAT\tBY\tWHAT\tANSWER")
				for i := range list {
					changeRow(t, &list[i])
				}
			})
		},
	})
	cmd.Flags().IntVar(&limit, "limit", 20, "how many changes")
	return cmd
}

func changeRow(t io.Writer, h *fleet.HistoryEntry) {
	answer := "accepted"
	if err := h.Answer.Err(); err != nil {
		answer = result.Text(err)
	}
	fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%s\n", h.Revision, time.UnixMilli(h.At).Format(time.RFC3339), h.Operator, h.Summary, answer)
}

func waitCommand() *cobra.Command {
	s := &session{}
	var timeout time.Duration
	cmd := s.flags(&cobra.Command{
		Use: "wait REVISION", Short: "Wait until a revision is in force everywhere", Args: cobra.ExactArgs(1), Example: "  dunlinquay wait 1234 --timeout 30s",
		RunE: func(cmd *cobra.Command, args []string) error {
			var revision ident.Revision
			if _, err := fmt.Sscan(args[0], &revision); err != nil {
				return result.New(result.Usage, "%q is not a revision", args[0])
			}
			f, err := s.client().Wait(cmd.Context(), revision, timeout.String())
			if err != nil {
				return err
			}
			err = s.print(cmd.OutOrStdout(), f, func(t io.Writer) {
				fmt.Fprintln(t, "DAEMON\tREVISION\tSTATE")
				for _, d := range f.Daemons {
					fmt.Fprintf(t, "%s\t%d\t%s\n", d.Name, d.Revision, d.State)
				}
			})
			if err == nil && !f.Done {
				err = result.New(result.CommandTimedOut, "revision %d is not in force everywhere after %s", revision, timeout)
			}
			return err
		},
	})
	cmd.Flags().DurationVar(&timeout, "timeout", 30*time.Second, "how long to wait")
	return cmd
}

func explainCommand() *cobra.Command {
	s := &session{}
	return s.flags(&cobra.Command{
		Use: "explain GROUP", Short: "Say why a group is or is not whole, and which VMs would fit", Args: cobra.ExactArgs(1), Example: "  dunlinquay explain briefing-1",
		RunE: func(cmd *cobra.Command, args []string) error {
			e, err := s.client().Explain(cmd.Context(), ident.Group(args[0]))
			if err != nil {
				return err
			}
			return s.print(cmd.OutOrStdout(), e, func(t io.Writer) {
				fmt.Fprintf(t, "group %s is %s in epoch %d: wants %d VMs, keeps %d, %d others fit\nnext: %s\n\n", e.Group, e.Phase, e.Epoch, e.Wanted, e.Kept, e.Fitting, e.Next)
				fmt.Fprintln(t, "VM\tHALL\tDOMAIN\tFITS\tREASON")
				for _, c := range e.Candidates {
					fmt.Fprintf(t, "%s\t%s\t%s\t%t\t%s\n", c.VM, c.Hall, c.Domain, c.Fits, c.Reason)
				}
			})
		},
	})
}

func watchCommand() *cobra.Command {
	s := &session{}
	var after uint64
	cmd := s.flags(&cobra.Command{
		Use: "watch", Short: "Print each change as it is accepted or refused, until interrupted", Args: cobra.NoArgs, Example: "  dunlinquay watch --after 100 --output json",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return s.watch(cmd.Context(), cmd.OutOrStdout(), ident.Revision(after))
		},
	})
	cmd.Flags().Uint64Var(&after, "after", 0, "begin after this revision")
	return cmd
}

func (s *session) watch(ctx context.Context, w io.Writer, after ident.Revision) error {
	return s.client().Watch(ctx, after, func(h fleet.HistoryEntry) error {
		return s.print(w, h, func(t io.Writer) { changeRow(t, &h) })
	})
}
