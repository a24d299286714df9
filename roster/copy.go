package roster

import (
	"github.com/dunlinquay/dunlinquay/ident"
)

// Copy is a daemon's copy of the leader's roster. It is not safe for concurrent use.
type Copy struct {
	Revision  Revision
	Upstreams map[ident.Incarnation]Upstream
	Groups    map[ident.Group]Group
}

// NewCopy returns an empty copy.
func NewCopy() *Copy {
	return &Copy{Upstreams: map[ident.Incarnation]Upstream{}, Groups: map[ident.Group]Group{}}
}

// Apply applies d, which sets the copy's revision to that of d.
func (c *Copy) Apply(d *Delta) {
	if d.Full {
		c.Upstreams = map[ident.Incarnation]Upstream{}
		c.Groups = map[ident.Group]Group{}
	}
	if d.Replaces != 0 {
		c.dropPartitions(d.Replaces)
	}
	for _, id := range d.Gone {
		delete(c.Upstreams, id)
	}
	for _, name := range d.Dropped {
		delete(c.Groups, name)
	}
	for i := range d.Upstreams {
		c.Upstreams[d.Upstreams[i].ID] = d.Upstreams[i]
	}
	for i := range d.Groups {
		c.Groups[d.Groups[i].Name] = d.Groups[i]
	}
	c.Revision = d.Revision
}

// FullDelta returns the copy as a delta that replaces another copy.
func (c *Copy) FullDelta() Delta {
	d := Delta{Full: true, Revision: c.Revision}
	for _, u := range c.Upstreams {
		d.Upstreams = append(d.Upstreams, u)
	}
	for _, g := range c.Groups {
		d.Groups = append(d.Groups, g)
	}
	return d
}
