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

// partitions is how many parts a roster has; their numbers are the bits of Delta.Replaces.
const partitions = 64

// Digests are the digests of the parts of a roster; a part without upstreams and groups has 0.
type Digests [partitions]uint64

func partitionOf[K ~string](k K) uint64 {
	return xxhash.Sum64String(string(k)) % partitions
}

func (s *Digests) addUpstream(u *Upstream) {
	s[partitionOf(u.ID)] += digestUpstream(u)
}

func (s *Digests) addGroup(g *Group) {
	s[partitionOf(g.Name)] += digestGroup(g)
}

// differingPartitions returns the parts that two rosters have not alike, as bits.
func (s *Digests) differingPartitions(other *Digests) uint64 {
	var mask uint64
	for i := range s {
		if s[i] != other[i] {
			mask |= 1 << i
		}
	}
	return mask
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
func (r *Roster) Diff(copyDigests *Digests) Delta {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.digestsRevision != r.revision || r.revision == 0 {
		r.digests, r.digestsRevision = r.computeDigests(), r.revision
	}
	d := Delta{Revision: r.revision, Replaces: r.digests.differingPartitions(copyDigests)}
	if d.Replaces == 0 {
		return d
	}
	for id, record := range r.upstreams {
		if d.Replaces>>partitionOf(id)&1 == 1 {
			d.Upstreams = append(d.Upstreams, record.Upstream)
		}
	}
	for name, g := range r.groups {
		if d.Replaces>>partitionOf(name)&1 == 1 {
			d.Groups = append(d.Groups, g)
		}
	}
	return d
}

// computeDigests returns the digests; the mutex is held.
func (r *Roster) computeDigests() Digests {
	var s Digests
	for _, record := range r.upstreams {
		s.addUpstream(&record.Upstream)
	}
	for _, g := range r.groups {
		s.addGroup(&g)
	}
	return s
}

// dropPartitions drops the parts that a delta replaces.
func (c *Copy) dropPartitions(mask uint64) {
	for id := range c.Upstreams {
		if mask>>partitionOf(id)&1 == 1 {
			delete(c.Upstreams, id)
		}
	}
	for name := range c.Groups {
		if mask>>partitionOf(name)&1 == 1 {
			delete(c.Groups, name)
		}
	}
}

// fieldHasher is a hash that is written field by field; each text is closed by a byte that no text holds.
type fieldHasher struct{ *xxhash.Digest }

func newFieldHasher() fieldHasher { return fieldHasher{xxhash.New()} }

func (h fieldHasher) writeText(s string) {
	_, _ = h.WriteString(s) // a hash takes everything
	_, _ = h.Write([]byte{0xff})
}

func (h fieldHasher) writeNumber(n uint64) {
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, n))
}

func (h fieldHasher) writeFlags(flags ...bool) {
	var n uint64
	for i, set := range flags {
		if set {
			n |= 1 << i
		}
	}
	h.writeNumber(n)
}

// writeSet writes a list whose order does not matter.
func writeSet[K ~string](h fieldHasher, set []K) {
	sorted := slices.Sorted(slices.Values(set))
	h.writeNumber(uint64(len(sorted)))
	for _, s := range sorted {
		h.writeText(string(s))
	}
}

func digestUpstream(u *Upstream) uint64 {
	h := newFieldHasher()
	for _, s := range []string{
		string(u.ID), string(u.Service), u.Address, string(u.Hall), string(u.Domain), string(u.Last), string(u.Member.Group), string(u.Member.State),
	} {
		h.writeText(s)
	}
	h.writeNumber(uint64(u.Slots))
	h.writeNumber(uint64(u.Member.Epoch))
	h.writeNumber(uint64(u.Member.Rank))
	h.writeFlags(u.Draining, u.Cold, u.Silent, u.Bound)
	writeSet(h, u.Loaded)
	writeSet(h, u.Staged)
	return h.Sum64()
}

func digestGroup(g *Group) uint64 {
	h := newFieldHasher()
	for _, s := range []string{string(g.Name), string(g.Service), string(g.Model), string(g.Phase)} {
		h.writeText(s)
	}
	h.writeNumber(uint64(g.Epoch))
	h.writeFlags(g.Far, g.Slow, g.WarmUp, g.Doubtful)
	for _, id := range g.Members {
		h.writeText(string(id))
	}
	return h.Sum64()
}
