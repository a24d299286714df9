package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"github.com/dunlinquay/dunlinquay/fleet"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/operator"
)

func groupCommand() *cobra.Command {
	group := &cobra.Command{Use: "group", Short: "Declare serving groups and look at them"}
	group.AddCommand(groupCreate(), groupChange(), groupDelete(), groupList(), groupShow())
	return group
}

// specFlags are the parts of a group's declaration.
type specFlags struct {
	spec      fleet.GroupSpec
	model     string
	selectors []string
}

func (p *specFlags) add(cmd *cobra.Command) {
	f := cmd.Flags()
	f.StringVar(&p.model, "model", "", "the model, as callers name it")
	f.StringVar(&p.spec.Version, "version", "", "version of the weights")
	f.StringSliceVar(&p.spec.Adapters, "adapter", nil, "adapter to load; may be given several times")
	f.IntVar(&p.spec.Size, "size", 1, "VMs that hold one replica")
	f.StringArrayVar(&p.selectors, "selector", nil, "VMs that may join: label=a,b or label!=a,b; several must all hold")
	f.IntVar(&p.spec.Priority, "priority", 0, "0 goes first when VMs are few")
	f.BoolVar(&p.spec.OneDomain, "one-domain", false, "never form across fabric domains")
}

// apply puts the given flags over base.
func (p *specFlags) apply(cmd *cobra.Command, base fleet.GroupSpec) (fleet.GroupSpec, error) {
	f := cmd.Flags()
	if f.Changed("model") {
		base.Model = ident.Model(p.model)
	}
	if f.Changed("version") {
		base.Version = p.spec.Version
	}
	if f.Changed("adapter") {
		base.Adapters = p.spec.Adapters
	}
	if f.Changed("size") || base.Size == 0 {
		base.Size = p.spec.Size
	}
	if f.Changed("priority") {
		base.Priority = p.spec.Priority
	}
	if f.Changed("one-domain") {
		base.OneDomain = p.spec.OneDomain
	}
	if !f.Changed("selector") {
		return base, nil
	}
	base.Selector = nil
	for _, text := range p.selectors {
		q, err := fleet.ParseRequirement(text)
		if err != nil {
			return base, err
		}
		base.Selector = append(base.Selector, q)
	}
	return base, nil
}

func groupCreate() *cobra.Command {
	s, p := &session{}, &specFlags{}
	cmd := s.changeFlags(&cobra.Command{
		Use: "create NAME", Short: "Declare a group", Args: cobra.ExactArgs(1),
		Example: "  dunlinquay group create chat-1 --model large --size 4 --selector gpu=new --selector hall=north",
		RunE: func(cmd *cobra.Command, args []string) error {
			spec, err := p.apply(cmd, fleet.GroupSpec{Name: ident.Group(args[0])})
			if err != nil {
				return err
			}
			return s.send(cmd, &operator.Change{Create: &spec})
		},
	})
	p.add(cmd)
	_ = cmd.MarkFlagRequired("model")
	return cmd
}

func groupChange() *cobra.Command {
	s, p := &session{}, &specFlags{}
	cmd := s.changeFlags(&cobra.Command{
		Use: "change NAME", Short: "Change what is declared of a group; flags not given stay", Args: cobra.ExactArgs(1),
		Example: "  dunlinquay group change chat-1 --version 2",
		RunE: func(cmd *cobra.Command, args []string) error {
			now, err := s.client().Group(cmd.Context(), ident.Group(args[0]))
			if err != nil {
				return err
			}
			spec, err := p.apply(cmd, now.Spec)
			if err != nil {
				return err
			}
			if s.ifRev == 0 {
				// The change was decided on what was just read; another operator's change in between must not be lost.
				s.ifRev = uint64(now.Changed)
			}
			return s.send(cmd, &operator.Change{Change: &spec})
		},
	})
	p.add(cmd)
	return cmd
}

func groupDelete() *cobra.Command {
	s := &session{}
	return s.changeFlags(&cobra.Command{
		Use: "delete NAME", Short: "Dissolve a group after its requests have ended", Args: cobra.ExactArgs(1),
		Example: "  dunlinquay group delete chat-1",
		RunE: func(cmd *cobra.Command, args []string) error {
			name := ident.Group(args[0])
			return s.send(cmd, &operator.Change{Delete: &name})
		},
	})
}

func groupRow(t io.Writer, g *operator.GroupView) {
	fmt.Fprintf(t, "%s\t%s\t%t\t%s\t%d\t%d\t%d\t%s\n",
		g.Spec.Name, g.Phase, g.Whole, g.Spec.Model, g.Spec.Size, g.Epoch, g.Changed, joinVMs(g.Members))
}

const groupHeader = "GROUP\tPHASE\tWHOLE\tMODEL\tSIZE\tEPOCH\tCHANGED\tMEMBERS"

func joinVMs(names []ident.VM) string {
	parts := make([]string, len(names))
	for i, n := range names {
		parts[i] = string(n)
	}
	return strings.Join(parts, ",")
}

func groupList() *cobra.Command {
	s := &session{}
	return s.flags(&cobra.Command{
		Use: "list", Short: "List groups", Args: cobra.NoArgs, Example: "  dunlinquay group list",
		RunE: func(cmd *cobra.Command, _ []string) error {
			list, err := s.client().Groups(cmd.Context())
			if err != nil {
				return err
			}
			return s.print(cmd.OutOrStdout(), list, func(t io.Writer) {
				fmt.Fprintln(t, groupHeader)
				for i := range list {
					groupRow(t, &list[i])
				}
			})
		},
	})
}

func groupShow() *cobra.Command {
	s := &session{}
	return s.flags(&cobra.Command{
		Use: "show NAME", Short: "Show one group", Args: cobra.ExactArgs(1), Example: "  dunlinquay group show chat-1",
		RunE: func(cmd *cobra.Command, args []string) error {
			g, err := s.client().Group(cmd.Context(), ident.Group(args[0]))
			if err != nil {
				return err
			}
			return s.print(cmd.OutOrStdout(), g, func(t io.Writer) {
				fmt.Fprintln(t, groupHeader)
				groupRow(t, &g)
				for _, q := range g.Spec.Selector {
					fmt.Fprintln(t, "selector", q)
				}
			})
		},
	})
}
