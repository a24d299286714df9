package site

import (
	"slices"
	"sync"

	"github.com/dunlinquay/dunlinquay/catalog"
	"github.com/dunlinquay/dunlinquay/httproute"
)

// maxPatchVersions is how many configurations a leader keeps to make patches from: followers call every half second at
// least, and fall a few versions behind while an operator makes several changes a second.
const maxPatchVersions = 8

// versions keeps the newest configurations and the patches from each of them to the newest.
type versions struct {
	mu        sync.Mutex
	documents []catalog.Document
	patches   map[httproute.Version][]byte
}

// add sets the newest configuration.
func (v *versions) add(d catalog.Document) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.documents = slices.DeleteFunc(v.documents, func(old catalog.Document) bool { return old.Version >= d.Version })
	v.documents = append(v.documents, d)
	v.documents = v.documents[max(0, len(v.documents)-maxPatchVersions):]
	v.patches = map[httproute.Version][]byte{}
}

// patch returns the patch from one version to the newest, if that is version to; nil when from is not known or a patch
// is not smaller.
func (v *versions) patch(from, to httproute.Version) []byte {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.documents) == 0 || v.documents[len(v.documents)-1].Version != to {
		return nil
	}
	if patch, ok := v.patches[from]; ok {
		return patch
	}
	i := slices.IndexFunc(v.documents, func(d catalog.Document) bool { return d.Version == from })
	if i < 0 {
		return nil
	}
	patch := makePatch(v.documents[i].Compressed, v.documents[len(v.documents)-1].Compressed)
	v.patches[from] = patch
	return patch
}

// makePatch returns the patch between two packed configurations, nil when the second one is not larger than the patch.
func makePatch(base, next []byte) []byte {
	from, err := catalog.Decompress(base)
	if err != nil {
		return nil // a receiver of the whole configuration reports the damage
	}
	to, err := catalog.Decompress(next)
	if err != nil {
		return nil
	}
	patch, err := catalog.NewPatch(from, to)
	if err != nil || len(patch) >= len(next) {
		return nil
	}
	return patch
}
