package operator

import (
	"time"

	"github.com/dunlinquay/dunlinquay/fleet"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/result"
)

// The paths of the operators' interface.
const (
	PathChanges = "/api/v1/changes"
	PathGroups  = "/api/v1/groups"
	PathVMs     = "/api/v1/vms"
	PathLimits  = "/api/v1/limits"
	PathStatus  = "/api/v1/status"
	PathWait    = "/api/v1/wait"
	PathWatch   = "/api/v1/watch"
	PathAdmit   = "/api/v1/admit"
)

// Change is one operator's change; exactly one of the pointers is set. A change sent again with the same id gets its first answer.
type Change struct {
	ID         ident.Change     `json:"id"`
	IfRevision ident.Revision   `json:"if-revision,omitempty"`
	Create     *fleet.GroupSpec `json:"create-group,omitempty"`
	Change     *fleet.GroupSpec `json:"change-group,omitempty"`
	Delete     *ident.Group     `json:"delete-group,omitempty"`
	Label      *LabelChange     `json:"label-vm,omitempty"`
	Drain      *DrainChange     `json:"drain-vm,omitempty"`
	Limits     *LimitChange     `json:"limit-customer,omitempty"`
}

// LabelChange sets and removes labels of a VM.
type LabelChange struct {
	VM     ident.VM          `json:"vm"`
	Set    map[string]string `json:"set,omitempty"`
	Remove []string          `json:"remove,omitempty"`
}

// DrainChange says whether a VM is to be left alone.
type DrainChange struct {
	VM    ident.VM `json:"vm"`
	Drain bool     `json:"drain"`
}

// LimitChange replaces a customer's limits.
type LimitChange struct {
	Customer ident.Customer       `json:"customer"`
	Limits   fleet.CustomerLimits `json:"limits"`
}

// command returns the log's form of the change.
func (c *Change) command(by string, now time.Time) (*fleet.Command, error) {
	out := &fleet.Command{Change: c.ID, By: by, At: now.UnixMilli(), IfRevision: c.IfRevision}
	set := 0
	if c.Create != nil {
		out.Kind, out.Spec, set = fleet.KindCreateGroup, c.Create, set+1
	}
	if c.Change != nil {
		out.Kind, out.Spec, set = fleet.KindChangeGroup, c.Change, set+1
	}
	if c.Delete != nil {
		out.Kind, out.Group, set = fleet.KindDeleteGroup, *c.Delete, set+1
	}
	if c.Label != nil {
		out.Kind, set = fleet.KindLabelVM, set+1
		out.Label = &fleet.LabelChange{VM: c.Label.VM, Set: c.Label.Set, Remove: c.Label.Remove}
	}
	if c.Drain != nil {
		out.Kind, set = fleet.KindDrainVM, set+1
		out.Label = &fleet.LabelChange{VM: c.Drain.VM, Drain: c.Drain.Drain}
	}
	if c.Limits != nil {
		out.Kind, set = fleet.KindSetLimits, set+1
		out.Limits = &fleet.LimitChange{Customer: c.Limits.Customer, Limits: c.Limits.Limits}
	}
	if c.ID == "" || len(c.ID) > ident.MaxNameLength {
		return nil, result.New(result.ChangeInvalid, "id: 1 to %d bytes are required", ident.MaxNameLength)
	}
	if set != 1 {
		return nil, result.New(result.ChangeInvalid, "a change holds exactly one of create-group, change-group, delete-group, label-vm, drain-vm, limit-customer; this one holds %d", set)
	}
	return out, nil
}

// Accepted is the answer to a change that was accepted.
type Accepted struct {
	Revision ident.Revision `json:"revision"`
}

// Failure is the answer to anything that was refused.
type Failure struct {
	Code result.Code `json:"code"`
	Name string      `json:"name"`
	Text string      `json:"text"`
	Next string      `json:"next"`
}

// GroupView is one group for people and programs.
type GroupView struct {
	fleet.Group
	Phase string `json:"phase"`
	Whole bool   `json:"whole"`
}

// VMView is one VM for people and programs.
type VMView struct {
	fleet.VM
	Phase     string `json:"phase"`
	Listing   string `json:"listing"`
	Condition string `json:"condition"`
}

// DaemonView is one daemon as the asked daemon knows it.
type DaemonView struct {
	Name        ident.Daemon      `json:"name"`
	Hall        ident.Hall        `json:"hall"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Revision    ident.Revision    `json:"revision"`
	HeardMillis int64             `json:"heard-ms"`
	Live        bool              `json:"live"`
	Stopping    bool              `json:"stopping"`
}

// Status is the system as the asked daemon knows it.
type Status struct {
	Daemon   ident.Daemon   `json:"daemon"`
	Leader   ident.Daemon   `json:"leader"`
	Term     uint64         `json:"term"`
	Role     string         `json:"role"`
	Revision ident.Revision `json:"revision"`
	Serving  bool           `json:"serving"`
	Reason   string         `json:"reason,omitempty"`
	Groups   int            `json:"groups"`
	Whole    int            `json:"groups-whole"`
	VMs      int            `json:"vms"`
	// Stranded counts the accelerators of healthy VMs that are in no whole group, StrandedMillis and DownMillis add up
	// accelerator and group time since this daemon started.
	Stranded       ident.Accelerators `json:"stranded-accelerators"`
	StrandedMillis int64              `json:"stranded-accelerator-ms"`
	DownMillis     int64              `json:"group-downtime-ms"`
	Daemons        []DaemonView       `json:"daemons"`
}

// InForce says where a revision is in force.
type InForce struct {
	Revision ident.Revision `json:"revision"`
	Done     bool           `json:"done"`
	Daemons  []ForceView    `json:"daemons"`
}

// ForceView is one daemon's state against a revision: it has it, it refuses requests because it is cut off, or neither yet.
type ForceView struct {
	Name     ident.Daemon   `json:"name"`
	Revision ident.Revision `json:"revision"`
	State    string         `json:"state"`
}

// The states of a daemon against a revision.
const (
	ForceHas     = "in-force"
	ForceRefuses = "cut-off-and-refusing"
	ForceBehind  = "behind"
)

// AdmitRequest names a control member whose new data folder is to be taken in.
type AdmitRequest struct {
	Member ident.Daemon `json:"member"`
}
