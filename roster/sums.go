package roster

// After a change of leaders nearly everything that a copy holds is still as the
// new leader knows it, but revisions of two leaders can't be compared. So a copy
// tells the new leader digests of its parts, and gets those that differ:
//
//	copy of the former leader     1: 4f   2: 81   3: c2   ...
//	roster of the new one         1: 4f   2: 90   3: c2   ...
//	what it sends                 all of part 2

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// parts is how many parts a roster has; their numbers are the bits of Delta.Replaces.
const parts = 64

// Digests are the digests of the parts of a roster; a part without upstreams and groups has 0.
type Digests [parts]uint64

func partOf[K ~string](k K) uint64 {
	return xxhash.Sum64String(string(k)) % parts
}

func (s *Digests) addUpstream(u *Upstream) {
	s[partOf(u.ID)] += digestUpstream(u)
}

func (s *Digests) addGroup(g *Group) {
	s[partOf(g.Name)] += digestGroup(g)
}

// differing returns the parts that two rosters have not alike, as bits.
func (s *Digests) differing(o *Digests) uint64 {
	var bits uint64
	for i := range s {
		if s[i] != o[i] {
			bits |= 1 << i
		}
	}
	return bits
}

// Digests returns the digests of the copy.
func (c *Copy) Digests() *Digests {
	var s Digests
	for id := range c.Upstreams {
		u := c.Upstreams[id]
		s.addUpstream(&u)
	}
	for name := range c.Groups {
		g := c.Groups[name]
		s.addGroup(&g)
	}
	return &s
}

// Diff returns all of the parts of which a copy has other digests.
func (r *Roster) Diff(copied *Digests) Delta {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sumsOf != r.revision || r.revision == 0 {
		r.sums, r.sumsOf = r.sumUp(), r.revision
	}
	d := Delta{Revision: r.revision, Replaces: r.sums.differing(copied)}
	if d.Replaces == 0 {
		return d
	}
	for id, rec := range r.upstreams {
		if d.Replaces>>partOf(id)&1 == 1 {
			d.Upstreams = append(d.Upstreams, rec.Upstream)
		}
	}
	for name, g := range r.groups {
		if d.Replaces>>partOf(name)&1 == 1 {
			d.Groups = append(d.Groups, g)
		}
	}
	return d
}

// sumUp returns the digests; the mutex is held.
func (r *Roster) sumUp() Digests {
	var s Digests
	for _, rec := range r.upstreams {
		s.addUpstream(&rec.Upstream)
	}
	for _, g := range r.groups {
		s.addGroup(&g)
	}
	return s
}

// replace drops the parts that a delta replaces.
func (c *Copy) replace(bits uint64) {
	for id := range c.Upstreams {
		if bits>>partOf(id)&1 == 1 {
			delete(c.Upstreams, id)
		}
	}
	for name := range c.Groups {
		if bits>>partOf(name)&1 == 1 {
			delete(c.Groups, name)
		}
	}
}

// digest is a hash that is written field by field; each text is closed by a byte that no text holds.
type digest struct{ *xxhash.Digest }

func newDigest() digest { return digest{xxhash.New()} }

func (d digest) text(s string) {
	_, _ = d.WriteString(s) // a hash takes everything
	_, _ = d.Write([]byte{0xff})
}

func (d digest) number(n uint64) {
	_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, n))
}

func (d digest) flags(list ...bool) {
	var n uint64
	for i, set := range list {
		if set {
			n |= 1 << i
		}
	}
	d.number(n)
}

// texts writes a list whose order does not matter.
func texts[K ~string](d digest, list []K) {
	sorted := slices.Sorted(slices.Values(list))
	d.number(uint64(len(sorted)))
	for _, s := range sorted {
		d.text(string(s))
	}
}

func digestUpstream(u *Upstream) uint64 {
	d := newDigest()
	for _, s := range []string{
		string(u.ID), string(u.Service), u.Address, string(u.Hall), string(u.Domain), string(u.Last), string(u.Member.Group), string(u.Member.State),
	} {
		d.text(s)
	}
	d.number(uint64(u.Slots))
	d.number(uint64(u.Member.Epoch))
	d.number(uint64(u.Member.Rank))
	d.flags(u.Draining, u.Cold, u.Silent, u.Bound)
	texts(d, u.Loaded)
	texts(d, u.Staged)
	return d.Sum64()
}

func digestGroup(g *Group) uint64 {
	d := newDigest()
	for _, s := range []string{string(g.Name), string(g.Service), string(g.Model), string(g.Phase)} {
		d.text(s)
	}
	d.number(uint64(g.Epoch))
	d.flags(g.Far, g.Slow, g.WarmUp, g.Doubtful)
	for _, id := range g.Members {
		d.text(string(id))
	}
	return d.Sum64()
}
