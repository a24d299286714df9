package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/operator"
	"github.com/dunlinquay/dunlinquay/result"
)

func vmCommand() *cobra.Command {
	vm := &cobra.Command{Use: "vm", Short: "Label VMs and look at them"}
	vm.AddCommand(vmLabel(), vmDrain("drain", true), vmDrain("undrain", false), vmList(), vmShow())
	return vm
}

func vmLabel() *cobra.Command {
	s := &session{}
	return s.changeFlags(&cobra.Command{
		Use: "label NAME KEY=VALUE|KEY-...", Short: "Set labels, or remove them with a trailing dash", Args: cobra.MinimumNArgs(2),
		Example: "  dunlinquay vm label w07 gpu=new rack-",
		RunE: func(cmd *cobra.Command, args []string) error {
			c := &operator.LabelChange{VM: ident.VM(args[0]), Set: map[string]string{}}
			for _, a := range args[1:] {
				key, value, ok := strings.Cut(a, "=")
				switch {
				case ok && key != "":
					c.Set[key] = value
				case strings.HasSuffix(a, "-") && len(a) > 1:
					c.Remove = append(c.Remove, strings.TrimSuffix(a, "-"))
				default:
					return result.New(result.Usage, "%q is neither KEY=VALUE nor KEY-", a)
				}
			}
			return s.send(cmd, &operator.Change{Label: c})
		},
	})
}

func vmDrain(use string, drain bool) *cobra.Command {
	s := &session{}
	short := "Take a VM out of service after its group's requests have ended"
	if !drain {
		short = "Let a drained VM serve again"
	}
	return s.changeFlags(&cobra.Command{
		Use: use + " NAME", Short: short, Args: cobra.ExactArgs(1), Example: "  dunlinquay vm " + use + " w07",
		RunE: func(cmd *cobra.Command, args []string) error {
			return s.send(cmd, &operator.Change{Drain: &operator.DrainChange{VM: ident.VM(args[0]), Drain: drain}})
		},
	})
}

const vmHeader = "VM\tHALL\tDOMAIN\tACCELERATORS\tPHASE\tGROUP\tEPOCH\tLISTING\tCONDITION\tLABELS"

func vmRow(t io.Writer, v *operator.VMView) {
	listing := v.Listing
	if v.Drained {
		listing += ",drained"
	}
	labels, _ := json.Marshal(v.Labels)
	fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%s\t%d\t%s\t%s\t%s\n",
		v.Name, v.Hall, v.Domain, v.Accelerators, v.Phase, v.Group, v.Epoch, listing, v.Condition, labels)
}

func vmList() *cobra.Command {
	s := &session{}
	return s.flags(&cobra.Command{
		Use: "list", Short: "List VMs", Args: cobra.NoArgs, Example: "  dunlinquay vm list",
		RunE: func(cmd *cobra.Command, _ []string) error {
			list, err := s.client().VMs(cmd.Context())
			if err != nil {
				return err
			}
			return s.print(cmd.OutOrStdout(), list, func(t io.Writer) {
				fmt.Fprintln(t, vmHeader)
				for i := range list {
					vmRow(t, &list[i])
				}
			})
		},
	})
}

func vmShow() *cobra.Command {
	s := &session{}
	return s.flags(&cobra.Command{
		Use: "show NAME", Short: "Show one VM", Args: cobra.ExactArgs(1), Example: "  dunlinquay vm show w07",
		RunE: func(cmd *cobra.Command, args []string) error {
			v, err := s.client().VM(cmd.Context(), ident.VM(args[0]))
			if err != nil {
				return err
			}
			return s.print(cmd.OutOrStdout(), v, func(t io.Writer) {
				fmt.Fprintln(t, vmHeader)
				vmRow(t, &v)
			})
		},
	})
}
