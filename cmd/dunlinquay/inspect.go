package main

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/site"
	"github.com/dunlinquay/dunlinquay/transport"
)

// decisionsShown is how many of the newest decisions a table shows; JSON has all.
const decisionsShown = 20

// inspection is what the commands that look at a site share.
type inspection struct {
	session
	file    string
	control string
}

func (q *inspection) flags(cmd *cobra.Command) *cobra.Command {
	f := cmd.Flags()
	f.StringVar(&q.file, "settings", "", "settings file of any daemon of the site; its seeds are asked")
	f.StringVar(&q.control, "control", "", "peers' address (HOST:PORT) of a control daemon, in place of the seeds")
	f.StringVarP(&q.output, "output", "o", "table", "table or json")
	cmd.MarkFlagsOneRequired("settings", "control")
	return cmd
}

// state asks the leader of the site, through the control daemons that are known.
func (q *inspection) state(cmd *cobra.Command) (*site.State, error) {
	addresses, err := q.addresses()
	if err != nil {
		return nil, err
	}
	return site.Inspect(cmd.Context(), transport.TCPWithPeerTimeout(), addresses)
}

func siteGroups() *cobra.Command {
	q := &inspection{}
	return q.flags(&cobra.Command{
		Use: "groups", Short: "List the groups of a site, and what each model has and needs", Args: cobra.NoArgs,
		Example: "  dunlinquay site groups --settings /etc/dunlinquay/site.json",
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := q.state(cmd)
			if err != nil {
				return err
			}
			return q.print(cmd.OutOrStdout(), s, func(t io.Writer) { groupsTable(t, s) })
		},
	})
}

func groupsTable(t io.Writer, s *site.State) {
	settled := ""
	if !s.Settled {
		settled = "; it still waits for reports and orders nothing"
	}
	fmt.Fprintf(t, "leader %s since %s, configuration %d, %d control daemons, %d entries%s\n\n",
		s.Leader, s.Since.Format(time.TimeOnly), s.Config, len(s.Controls), s.Entries, settled)
	fmt.Fprintln(t, "MODEL\tSIZE\tSERVING\tWANTED\tLOAD\tWHY")
	for i := range s.Models {
		modelRow(t, &s.Models[i])
	}
	fmt.Fprintln(t)
	fmt.Fprintln(t, "GROUP\tEPOCH\tMODEL\tPHASE\tFOR\tFAR\tMEMBERS")
	for i := range s.Groups {
		siteGroupRow(t, &s.Groups[i])
	}
	forecastTable(t, s.Forecasts)
	heldTable(t, s.Held)
}

// forecastTable shows the demand that groups are planned by where it is forecast.
func forecastTable(t io.Writer, list []site.ModelForecast) {
	if len(list) == 0 {
		return
	}
	fmt.Fprintln(t, "\nMODEL\tEXPECTED DEMAND\tAVERAGE\tERROR\tMETHOD\tPERIOD")
	for _, f := range list {
		period := "-"
		if f.PeriodMS > 0 {
			period = (time.Duration(f.PeriodMS) * time.Millisecond).Round(100 * time.Millisecond).String()
		}
		fmt.Fprintf(t, "%s\t%.1f\t%.1f\t%.1f\t%s\t%s\n", f.Model, f.Expected, f.Average, f.Error, f.Method, period)
	}
}

func heldTable(t io.Writer, held []site.QuarantineState) {
	if len(held) == 0 {
		return
	}
	fmt.Fprintln(t, "\nHELD CONTENT\tPROMPT PART\tCUSTOMER\tUPSTREAMS CRASHED\tFAILED TRIALS\tFOR ANOTHER")
	for _, h := range held {
		left := "until a trial"
		if h.ForMS > 0 {
			left = (time.Duration(h.ForMS) * time.Millisecond).Round(time.Second).String()
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%s\n", h.Content, cmp.Or(string(h.Part), "-"), cmp.Or(string(h.Customer), "-"), h.Ends, h.FailedTrials, left)
	}
}

// askedTable shows which entries send upstreams nothing because these asked for it.
func askedTable(t io.Writer, list []site.UpstreamState) {
	head := "\nUPSTREAM\tASKED ENTRY\tFOR NOTHING FOR ANOTHER\tLEAVES"
	for i := range list {
		u := &list[i]
		for _, a := range u.Asked {
			if head != "" {
				fmt.Fprintln(t, head)
				head = ""
			}
			fmt.Fprintf(t, "%s\t%s\t%s\t%t\n", u.ID, a.Entry, time.Duration(a.ForMS)*time.Millisecond, a.Leaving)
		}
	}
}

// limitTable shows the limits that upstreams have named, and what each entry gets of them.
func limitTable(t io.Writer, list []site.UpstreamState) {
	for i := range list {
		l := list[i].Limit
		if l == nil {
			continue
		}
		fmt.Fprintln(t, "\nUPSTREAM\tLIMIT A SECOND\tSINCE\tLAST SAID\tCOORDINATOR")
		fmt.Fprintf(t, "%s\t%g\t%s\t%s\t%s\n", list[i].ID, float64(l.Limit), ago(l.SinceMS), ago(l.SaidMS), l.Coordinator)
		fmt.Fprintln(t, "\nENTRY\tTOLD BY IT\tSENT IN 10 S\tGRANTED\tREFUSED\tUNANSWERED\tBY ITS OWN PART")
		for _, e := range l.Entries {
			fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%s\n", e.Entry, ago(e.ToldMS), e.Lately, e.Granted, e.Refused, e.Unanswered, ownPart(&e))
		}
	}
}

// unreadTable shows what upstreams say that nothing reads.
func unreadTable(t io.Writer, list []site.UpstreamState) {
	head := "\nUPSTREAM\tWORDS THAT NOTHING READS"
	for i := range list {
		if len(list[i].Unread) == 0 {
			continue
		}
		if head != "" {
			fmt.Fprintln(t, head)
			head = ""
		}
		fmt.Fprintf(t, "%s\t%s\n", list[i].ID, strings.Join(list[i].Unread, ", "))
	}
}

// ago writes how long ago something was, nothing where it never was.
func ago(ms int64) string {
	if ms < 0 {
		return "-"
	}
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond).String()
}

func ownPart(e *site.LimitShare) string {
	if e.Apart {
		return fmt.Sprintf("%d, now", e.Own)
	}
	return strconv.Itoa(e.Own)
}

func modelRow(t io.Writer, m *site.ModelState) {
	fmt.Fprintf(t, "%s\t%d\t%.1f\t%.0f\t%.2f\t%s\n", m.Model, m.Size, m.Serving, m.Wanted, m.Load, m.Why)
}

func siteGroupRow(t io.Writer, g *site.GroupState) {
	since := (time.Duration(g.ForMS) * time.Millisecond).Round(100 * time.Millisecond)
	fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%s\t%t\t%s\n", g.Name, g.Epoch, g.Model, g.Phase, since, g.Far, joinUpstreams(g.Members))
}

func joinUpstreams(list []ident.Incarnation) string {
	var names []string
	for _, id := range list {
		names = append(names, string(id))
	}
	return strings.Join(names, ",")
}

func siteRelease() *cobra.Command {
	q := &inspection{}
	return q.flags(&cobra.Command{
		Use: "release NAME", Short: "End the quarantine of a request content or a prompt part", Args: cobra.ExactArgs(1),
		Long:    "End the quarantine of a request content or a prompt part, as listed by site groups. If upstreams crash again, it is quarantined again.",
		Example: "  dunlinquay site release 5c1e07a2 --settings /etc/dunlinquay/site.json",
		RunE: func(cmd *cobra.Command, args []string) error {
			addresses, err := q.addresses()
			if err != nil {
				return err
			}
			return site.Release(cmd.Context(), transport.TCPWithPeerTimeout(), addresses, args[0])
		},
	})
}

func siteExplain() *cobra.Command {
	q := &inspection{}
	return q.flags(&cobra.Command{
		Use: "explain NAME", Short: "Say what a model, a group, an upstream or held work of a site does, and why", Args: cobra.ExactArgs(1),
		Long: "Say what a model, a group or an upstream of a site does, and why: for a model what keeps it from having more groups,\n" +
			"domain by domain; for a group its members and the decisions on it, also after it has ended; for an upstream what it\n" +
			"does and the decisions on its groups; for a customer, the content of a request or a part of prompts what is held\n" +
			"because upstreams crashed.",
		Example: "  dunlinquay site explain prosa-large --settings /etc/dunlinquay/site.json",
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := q.state(cmd)
			if err != nil {
				return err
			}
			part := partOf(s, args[0])
			if len(part.Models)+len(part.Groups)+len(part.Upstreams)+len(part.Decisions)+len(part.Held) == 0 {
				return result.New(result.ChangeNotFound, "the site knows no model, group, upstream or held content %q", args[0])
			}
			return q.print(cmd.OutOrStdout(), part, func(t io.Writer) { explainTable(t, part) })
		},
	})
}

// names reports whether any life in list is called name, with its birth or without.
func names(list []ident.Incarnation, name string) bool {
	return slices.ContainsFunc(list, func(id ident.Incarnation) bool { return string(id) == name || id.UpstreamID() == name })
}

// partOf returns what the state says of one name: of a model its groups too, of a group its members.
func partOf(s *site.State, name string) *site.State {
	part := *s
	part.Models = slices.DeleteFunc(slices.Clone(s.Models), func(m site.ModelState) bool { return string(m.Model) != name })
	part.Groups = slices.DeleteFunc(slices.Clone(s.Groups), func(g site.GroupState) bool {
		return string(g.Name) != name && string(g.Model) != name && !names(g.Members, name)
	})
	members := map[ident.Incarnation]bool{}
	for i := range s.Groups {
		if g := &s.Groups[i]; string(g.Name) == name {
			for _, id := range g.Members {
				members[id] = true
			}
		}
	}
	part.Upstreams = slices.DeleteFunc(slices.Clone(s.Upstreams), func(u site.UpstreamState) bool {
		return !members[u.ID] && !names([]ident.Incarnation{u.ID}, name)
	})
	part.Decisions = slices.DeleteFunc(slices.Clone(s.Decisions), func(d site.GroupDecision) bool {
		return string(d.Group) != name && string(d.Model) != name && !names(d.Members, name)
	})
	part.Forecasts = slices.DeleteFunc(slices.Clone(s.Forecasts), func(f site.ModelForecast) bool { return string(f.Model) != name })
	part.Held = slices.DeleteFunc(slices.Clone(s.Held), func(h site.QuarantineState) bool {
		return h.Content != name && string(h.Customer) != name && string(h.Part) != name
	})
	return &part
}

func explainTable(t io.Writer, s *site.State) {
	for i := range s.Models {
		m := &s.Models[i]
		fmt.Fprintln(t, "MODEL\tSIZE\tSERVING\tWANTED\tLOAD\tWHY")
		modelRow(t, m)
		fmt.Fprintln(t, "\nDOMAIN\tFREE, READY\tLOADING\tWITHOUT WEIGHTS\tSLOW\tMEMBERS\tDONORS")
		for _, r := range m.Rooms {
			fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\n", r.Domain, r.Ready, r.Loading, r.Other, r.Slow, r.Members, r.Donors)
		}
		fmt.Fprintln(t)
	}
	forecastTable(t, s.Forecasts)
	if len(s.Groups) > 0 {
		fmt.Fprintln(t, "GROUP\tEPOCH\tMODEL\tPHASE\tFOR\tFAR\tMEMBERS")
	}
	for i := range s.Groups {
		siteGroupRow(t, &s.Groups[i])
	}
	if len(s.Upstreams) > 0 {
		fmt.Fprintln(t, "\nUPSTREAM\tHALL\tDOMAIN\tADDRESS\tREPORT AGE\tDOES")
	}
	for _, u := range s.Upstreams {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\n", u.ID, u.Hall, u.Domain, u.Address, time.Duration(u.AgeMS)*time.Millisecond, u.Place)
	}
	askedTable(t, s.Upstreams)
	limitTable(t, s.Upstreams)
	unreadTable(t, s.Upstreams)
	heldTable(t, s.Held)
	if len(s.Decisions) > 0 {
		fmt.Fprintln(t, "\nAT\tGROUP\tDECISION\tREASON")
	}
	for _, d := range s.Decisions[max(0, len(s.Decisions)-decisionsShown):] {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", d.At.Format("15:04:05.000"), d.Group, d.Decision, d.Reason)
	}
}
