package site

// A daemon that has no roster gets the whole one. When many daemons start at once it is the same for all, so it is
// encoded and compressed once for each revision. A daemon with a copy from a former leader gets only the parts that
// differ.

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/dunlinquay/dunlinquay/clock"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/roster"
)

// packedRosterTTL is how long a packed roster is sent although the roster has changed since; the receiver gets the
// changes with its next call.
const packedRosterTTL = 200 * time.Millisecond

// maxUnpackedBytes bounds a roster after decompression.
const maxUnpackedBytes = 64 << 20

// packedRoster is a whole roster as sent, encoded and compressed.
type packedRoster struct {
	mu       sync.Mutex
	revision roster.Revision
	packedAt time.Time
	data     []byte
}

// get returns the packed roster, packing it again if it has changed and is older than packedRosterTTL.
func (p *packedRoster) get(now time.Time, r *roster.Roster) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if revision, _ := r.Changed(); p.data != nil && (revision == p.revision || now.Sub(p.packedAt) < packedRosterTTL) {
		return p.data, nil
	}
	snapshot := r.Since(0)
	for i := range snapshot.Groups {
		// This time is of the leader's clock.
		snapshot.Groups[i].Since = time.Time{}
	}
	data, err := pack(&snapshot)
	if err != nil {
		return nil, err
	}
	p.data, p.revision, p.packedAt = data, snapshot.Revision, now
	return data, nil
}

// pack encodes and compresses a value.
func pack(value any) ([]byte, error) {
	plain, err := cbor.Marshal(value)
	if err != nil {
		return nil, err
	}
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	if _, err := w.Write(plain); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return packed.Bytes(), nil
}

// unpack decompresses and decodes a value that pack made.
func unpack(packed []byte, value any) error {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return result.Wrap(err, result.PeerRefused, "data from the leader cannot be decompressed")
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes))
	if err != nil {
		return result.Wrap(err, result.PeerRefused, "data from the leader cannot be decompressed")
	}
	if err := cbor.Unmarshal(plain, value); err != nil {
		return result.Wrap(err, result.PeerRefused, "data from the leader cannot be decoded")
	}
	return nil
}

// fillChanges adds the parts of the roster that the caller lacks.
func (r *leadership) fillChanges(call *SyncCall, reply *SyncReply) {
	visible, packed := r.roster, &r.packedFullRoster
	if call.Entry {
		visible, packed = r.entryView.Roster, &r.packedEntryView
	}
	switch {
	case call.Leadership == r.name:
		reply.Changes = visible.Since(call.Revision)
	case call.Sums != nil:
		reply.Changes = visible.Diff(call.Sums)
	default:
		reply.Changes = roster.Delta{Full: true}
	}
	if !reply.Changes.Full {
		return
	}
	data, err := packed.get(clock.Now(), visible)
	if err != nil {
		r.control.Log.Error(err, "roster cannot be packed")
		reply.Usable = false
		return
	}
	reply.Changes, reply.Packed = roster.Delta{}, data
}
