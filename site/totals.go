package site

// The leader sends each entry the requests in progress of all entries at each upstream, several times a second. The
// totals are the same for all entries, so they are encoded once, and each entry subtracts its own requests. An upstream
// takes about six bytes: 32 bits of its ID's digest and the number.

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dunlinquay/dunlinquay/ident"
)

// totalsTTL is how long encoded totals are reused.
const totalsTTL = 20 * time.Millisecond

// shortID is a part of the digest of an upstream's ID. Two upstreams with the same short ID count as one, which only
// makes them look busier.
type shortID uint32

func shortIDOf(id ident.Incarnation) shortID {
	return shortID(xxhash.Sum64String(string(id)))
}

// shortIDs returns upstreams by their short IDs.
func shortIDs(list []ident.Incarnation) map[shortID]ident.Incarnation {
	upstreams := make(map[shortID]ident.Incarnation, len(list))
	for _, id := range list {
		upstreams[shortIDOf(id)] = id
	}
	return upstreams
}

// encodeTotals encodes the requests in progress at upstreams.
func encodeTotals(totals map[ident.Incarnation]int) []byte {
	var b []byte
	for id, n := range totals {
		b = binary.LittleEndian.AppendUint32(b, uint32(shortIDOf(id)))
		b = binary.AppendUvarint(b, uint64(max(0, n)))
	}
	return b
}

// decodeTotals returns the requests at known upstreams less the caller's own; unreadable data is ignored.
func decodeTotals(b []byte, upstreams map[shortID]ident.Incarnation, own map[ident.Incarnation]int) map[ident.Incarnation]int {
	const width = 4
	others := map[ident.Incarnation]int{}
	for len(b) > width {
		id, ok := upstreams[shortID(binary.LittleEndian.Uint32(b))]
		n, read := binary.Uvarint(b[width:])
		if read <= 0 {
			return others
		}
		b = b[width+read:]
		if byOthers := int(n) - own[id]; ok && byOthers > 0 {
			others[id] = byOthers
		}
	}
	return others
}

// encodedTotals returns the encoded requests of all entries at each upstream.
func (r *leadership) encodedTotals(now time.Time) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.totalsEncodedAt.IsZero() || now.Sub(r.totalsEncodedAt) >= totalsTTL {
		r.totalsData, r.totalsEncodedAt = encodeTotals(r.totals), now
	}
	return r.totalsData
}
