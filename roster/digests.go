package roster

// After a change of leaders a copy still matches the new leader's roster almost entirely, but revisions of two leaders
// cannot be compared. A copy therefore sends digests of its partitions and receives the partitions that differ:
//
//	copy of the former leader     1: 4f   2: 81   3: c2   ...
//	roster of the new leader      1: 4f   2: 90   3: c2   ...
//	the new leader sends          all of partition 2

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// partitions is the number of partitions of a roster; their numbers are the bits of Delta.Replaces.
const partitions = 64

// Digests are the digests of a roster's partitions; an empty partition has 0.
type Digests [partitions]uint64

func partitionOf[K ~string](k K) uint64 {
	return xxhash.Sum64String(string(k)) % partitions
}

func (d *Digests) addUpstream(u *Upstream) {
	d[partitionOf(u.ID)] += digestUpstream(u)
}

func (d *Digests) addGroup(g *Group) {
	d[partitionOf(g.Name)] += digestGroup(g)
}

// differingPartitions returns the bit set of the partitions that differ.
func (d *Digests) differingPartitions(other *Digests) uint64 {
	var mask uint64
	for i := range d {
		if d[i] != other[i] {
			mask |= 1 << i
		}
	}
	return mask
}

// Digests returns the digests of the copy.
func (c *Copy) Digests() *Digests {
	var digests Digests
	for id := range c.Upstreams {
		u := c.Upstreams[id]
		digests.addUpstream(&u)
	}
	for name := range c.Groups {
		g := c.Groups[name]
		digests.addGroup(&g)
	}
	return &digests
}

// Diff returns a delta with the whole content of each partition whose digest differs from the copy's.
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
	var digests Digests
	for _, record := range r.upstreams {
		digests.addUpstream(&record.Upstream)
	}
	for _, g := range r.groups {
		digests.addGroup(&g)
	}
	return digests
}

// dropPartitions removes the content of the partitions in mask.
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

// fieldHasher hashes a record field by field. Strings end with a byte that does not occur in them.
type fieldHasher struct{ *xxhash.Digest }

func newFieldHasher() fieldHasher { return fieldHasher{xxhash.New()} }

func (h fieldHasher) writeText(s string) {
	_, _ = h.WriteString(s) // writes to a hash never fail
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

// writeSet writes a list independent of its order.
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
