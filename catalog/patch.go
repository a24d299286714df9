package catalog

// A change is small compared with the configuration: 1,000 routes are 240 kB,
// or 22 kB compressed. Sent whole to 295 daemons three times a second, this
// would fill a link of 170 Mbit/s. A daemon with an earlier configuration
// therefore gets the new one compressed with the earlier one as dictionary,
// which takes about 100 bytes.

import (
	"github.com/klauspost/compress/zstd"

	"github.com/dunlinquay/dunlinquay/result"
)

const (
	// patchDictionaryID is constant: both sides know from the context which configuration is the dictionary.
	patchDictionaryID = 1
	// patchWindowBytes is how far back a patch can refer; it covers a configuration of several thousand routes.
	patchWindowBytes = 1 << 20
)

// NewPatch returns a patch from base to next, with a checksum that detects a wrong base.
func NewPatch(base, next []byte) ([]byte, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderDictRaw(patchDictionaryID, base), zstd.WithEncoderConcurrency(1),
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(patchWindowBytes), zstd.WithEncoderCRC(true))
	if err != nil {
		return nil, err
	}
	patch := encoder.EncodeAll(next, nil)
	return patch, encoder.Close()
}

// ApplyPatch returns the configuration that patch produces from base.
func ApplyPatch(base, patch []byte) ([]byte, error) {
	if len(patch) == 0 {
		return nil, result.New(result.StorageDamaged, "configuration patch is empty")
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderDictRaw(patchDictionaryID, base), zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxDocumentBytes))
	if err != nil {
		return nil, err
	}
	defer decoder.Close()
	next, err := decoder.DecodeAll(patch, nil)
	if err != nil {
		return nil, result.Wrap(err, result.StorageDamaged, "configuration patch is damaged or made for another base")
	}
	return next, nil
}
