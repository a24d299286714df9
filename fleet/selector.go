package fleet

import (
	"slices"
	"strings"

	"github.com/dunlinquay/dunlinquay/result"
)

// Requirement is a condition on a label: its value must be one of Values or, if Not is set, none of them.
type Requirement struct {
	Label  string   `cbor:"1,keyasint" json:"label"`
	Not    bool     `cbor:"2,keyasint" json:"not,omitempty"`
	Values []string `cbor:"3,keyasint,omitempty" json:"values"`
}

// Labels that every VM has, derived from its name and location.
const (
	LabelVM     = "vm"
	LabelHall   = "hall"
	LabelDomain = "domain"
)

// ParseRequirement parses "label=a,b" or "label!=a,b".
func ParseRequirement(s string) (Requirement, error) {
	label, values, ok := strings.Cut(s, "=")
	not := strings.HasSuffix(label, "!")
	label = strings.TrimSuffix(label, "!")
	if !ok || label == "" || values == "" {
		return Requirement{}, result.New(result.ChangeInvalid, "%q is not a selector such as gpu=new,old or hall!=west", s)
	}
	return Requirement{Label: label, Not: not, Values: strings.Split(values, ",")}, nil
}

// String formats the requirement for ParseRequirement.
func (q Requirement) String() string {
	operator := "="
	if q.Not {
		operator = "!="
	}
	return q.Label + operator + strings.Join(q.Values, ",")
}

// Label returns the value of a built-in or operator-set label, or "".
func (v *VM) Label(name string) string {
	switch name {
	case LabelVM:
		return string(v.Name)
	case LabelHall:
		return string(v.Hall)
	case LabelDomain:
		return string(v.Domain)
	}
	return v.Labels[name]
}

// IsMetBy reports whether v meets the requirement.
func (q *Requirement) IsMetBy(v *VM) bool {
	return slices.Contains(q.Values, v.Label(q.Label)) != q.Not
}

// FailedRequirement returns the first requirement of the group that v does not meet, or nil.
func (s *GroupSpec) FailedRequirement(v *VM) *Requirement {
	for i := range s.Selector {
		if !s.Selector[i].IsMetBy(v) {
			return &s.Selector[i]
		}
	}
	return nil
}
