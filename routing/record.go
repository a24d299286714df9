package routing

// The content of a group's prefix cache is known from two sources: this daemon
// records to which target it sent which prompts, and the engines publish cache
// events, late and with gaps. An event that removes a block is applied; a gap may
// have hidden removals, so it invalidates all records of that target.
//
// A prompt is described by the hashes of its first 256, 512, 1024, ... bytes. This
// takes a dozen numbers for any length, and a common prefix of two prompts is found
// up to its largest power of two.

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	minPrefixBytes    = 256
	maxPrefixes       = 16
	defaultRecordSize = 1 << 16
)

// Prefixes returns the hashes of the prefixes of prompt, shortest first.
func Prefixes(prompt []byte) []uint64 {
	var hashes []uint64
	h := xxhash.New()
	done := 0
	for size := minPrefixBytes; size <= len(prompt) && len(hashes) < maxPrefixes; size *= 2 {
		_, _ = h.Write(prompt[done:size])
		done = size
		hashes = append(hashes, h.Sum64())
	}
	return hashes
}

// prefixHolder is the id of a target that cached a prefix while it had that cacheVersion.
type prefixHolder struct {
	target       uint64
	cacheVersion uint64
}

// PrefixRecord records which target has which prefix in its cache, for a bounded number of prefixes.
type PrefixRecord struct {
	mu      sync.Mutex
	holders *boundedMap[uint64, prefixHolder]
}

// NewRecord returns a record of at most 2*size prefixes.
func NewRecord(size int) *PrefixRecord {
	return &PrefixRecord{holders: newBoundedMap[uint64, prefixHolder](size)}
}

// find returns the target with the longest recorded prefix, and the number of the prefixes that the target has.
func (r *PrefixRecord) find(ix *index, prefixes []uint64) (*Target, int) {
	if len(prefixes) == 0 {
		return nil, 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for depth := len(prefixes); depth > 0; depth-- {
		b, ok := r.holders.get(prefixes[depth-1])
		if !ok {
			continue
		}
		if target := ix.byID[b.target]; target != nil && target.cacheVersion.Load() == b.cacheVersion {
			return target, depth
		}
	}
	return nil, 0
}

// add records that target got a prompt with these prefixes.
func (r *PrefixRecord) add(target *Target, prefixes []uint64) {
	if len(prefixes) == 0 {
		return
	}
	b := prefixHolder{target.id, target.cacheVersion.Load()}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range prefixes {
		r.holders.put(p, b)
	}
}

// Removed applies an engine's event that a prefix was removed from its cache.
func (r *PrefixRecord) Removed(target *Target, prefix uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b, ok := r.holders.get(prefix); ok && b.target == target.id {
		r.holders.remove(prefix)
	}
}

// Stored applies an engine's event that a prefix was cached, unless a target is already recorded; other daemons may have sent the prompt.
func (r *PrefixRecord) Stored(target *Target, prefix uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.holders.get(prefix); !ok {
		r.holders.put(prefix, prefixHolder{target.id, target.cacheVersion.Load()})
	}
}

// Invalidate invalidates all records of target, because events were missed.
func (r *PrefixRecord) Invalidate(target *Target) {
	target.cacheVersion.Add(1)
}

// boundedMap is a map of at most 2*size items. It drops the older half at once, which needs no list of uses; get moves an item into the recent
// half.
type boundedMap[K comparable, V any] struct {
	size          int
	recent, older map[K]V
}

func newBoundedMap[K comparable, V any](size int) *boundedMap[K, V] {
	return &boundedMap[K, V]{size: size, recent: map[K]V{}, older: map[K]V{}}
}

func (g *boundedMap[K, V]) get(key K) (V, bool) {
	if v, ok := g.recent[key]; ok {
		return v, true
	}
	v, ok := g.older[key]
	if ok {
		g.put(key, v)
	}
	return v, ok
}

func (g *boundedMap[K, V]) put(key K, v V) {
	if len(g.recent) >= g.size {
		g.older = g.recent
		g.recent = make(map[K]V, g.size)
	}
	g.recent[key] = v
}

func (g *boundedMap[K, V]) remove(key K) {
	delete(g.recent, key)
	delete(g.older, key)
}
