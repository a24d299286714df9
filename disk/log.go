package disk

// Log is one append-only file that many replicated logs share, so that one
// sync covers what all of them wrote in the same moment. A frame is one
// synced batch:
//
//	magic u32 | length u32 | header checksum u64 | payload | payload checksum u64
//
// A crash can tear only the last frame, because a frame starts only after the
// sync of the frame before it. A frame that cannot be read is therefore cut
// when nothing readable follows it, and stops the process when a readable
// frame does follow: then the damage lies in what was once synced.
//
// Rewriting (see Rewrite) replaces the file by a shorter one through a rename.

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"os"
	"path/filepath"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/dunlinquay/dunlinquay/park"
	"github.com/dunlinquay/dunlinquay/result"
)

const (
	logName       = "log"
	frameMagic    = 0x51_4c_4e_44
	headerSize    = 16
	trailerSize   = 8
	maxFrame      = 64 << 20
	formatVersion = 1
	maxBatch      = 1024
)

// Record is one item of one replicated log; Data is opaque to this package.
type Record struct {
	Instance uint32 `cbor:"1,keyasint"`
	Data     []byte `cbor:"2,keyasint"`
}

type frame struct {
	Version int      `cbor:"1,keyasint"`
	Records []Record `cbor:"2,keyasint"`
}

type appendCall struct {
	records []Record
	done    chan error
}

// Log appends records in synced frames; fields are set before Run.
type Log struct {
	folder *Folder
	lock   *os.File
	tasks  *park.Group
	calls  chan appendCall

	mu     sync.Mutex
	file   *os.File
	size   int64
	failed error
	syncs  uint64
}

// OpenLog reads the log in folder, cuts a torn tail, and returns the log with every record in order.
func OpenLog(folder *Folder) (*Log, []Record, error) {
	lock, err := folder.lock()
	if err != nil {
		return nil, nil, err
	}
	l := &Log{folder: folder, lock: lock, tasks: park.New(), calls: make(chan appendCall, maxBatch)}
	records, err := l.read()
	if err != nil {
		l.closeFiles()
		return nil, nil, err
	}
	l.tasks.Go(func(ctx context.Context) { l.commitLoop(ctx) })
	return l, records, nil
}

// read opens the file, takes its records and cuts a torn tail.
func (l *Log) read() ([]Record, error) {
	f, err := os.OpenFile(filepath.Join(l.folder.Path, logName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, classify(err)
	}
	l.file = f
	// A new file lasts only once the folder that names it is synced.
	if err := l.folder.syncFolder(); err != nil {
		return nil, err
	}
	content, err := io.ReadAll(f)
	if err != nil {
		return nil, classify(err)
	}
	records, good, err := Decode(content)
	if err != nil {
		return nil, err
	}
	l.size = good
	return records, l.cut(int64(len(content)))
}

func (l *Log) closeFiles() {
	if l.file != nil {
		l.file.Close()
	}
	// Closing gives the lock back.
	l.lock.Close()
}

// cut removes a torn tail and syncs, so that later frames follow the last good one.
func (l *Log) cut(length int64) error {
	if length == l.size {
		return nil
	}
	if err := l.file.Truncate(l.size); err != nil {
		return classify(err)
	}
	if err := l.folder.Sync(l.file); err != nil {
		return syncFailed(err)
	}
	return nil
}

// Run commits batches until ctx ends, then closes the file.
func (l *Log) Run(ctx context.Context) {
	l.tasks.Run(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeFiles()
}

// Close closes a log that was opened and will not run.
func (l *Log) Close() {
	l.tasks.Discard()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeFiles()
}

// Append returns after records are on disk and synced; records of concurrent calls share one sync.
func (l *Log) Append(ctx context.Context, records []Record) error {
	call := appendCall{records: records, done: make(chan error, 1)}
	select {
	case l.calls <- call:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-call.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Syncs returns the number of frames synced since the log was opened.
func (l *Log) Syncs() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.syncs
}

// Size returns the length of the log in bytes.
func (l *Log) Size() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.size
}

func (l *Log) commitLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-l.calls:
			l.commit(l.gather(first))
		}
	}
}

// gather takes every call that waits already; it never waits for more.
func (l *Log) gather(first appendCall) []appendCall {
	batch := []appendCall{first}
	for len(batch) < maxBatch {
		select {
		case next := <-l.calls:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

func (l *Log) commit(batch []appendCall) {
	var records []Record
	for _, call := range batch {
		records = append(records, call.records...)
	}
	l.mu.Lock()
	err := l.writeFrame(records)
	l.mu.Unlock()
	for _, call := range batch {
		call.done <- err
	}
}

func (l *Log) writeFrame(records []Record) error {
	if l.failed != nil {
		return l.failed
	}
	b, err := Encode(records)
	if err != nil {
		return err
	}
	if _, err := l.folder.WriteAt(l.file, b, l.size); err != nil {
		return l.writeFailed(classify(err))
	}
	if err := l.folder.Sync(l.file); err != nil {
		// After a failed sync the kernel may have dropped the pages; a retry could report success falsely.
		l.failed = syncFailed(err)
		return l.failed
	}
	l.size += int64(len(b))
	l.syncs++
	return nil
}

// writeFailed removes the partial frame of a full disk, so that the next frame can be tried; any other failure is final.
func (l *Log) writeFailed(err error) error {
	if result.CodeOf(err) != result.StorageFull || l.file.Truncate(l.size) != nil {
		l.failed = err
	}
	return err
}

// Rewrite replaces the whole log by records through a synced rename.
func (l *Log) Rewrite(records []Record) error {
	b, err := Encode(records)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed != nil {
		return l.failed
	}
	if err := l.folder.WriteFile(logName, b); err != nil {
		if result.CodeOf(err) != result.StorageFull {
			l.failed = err
		}
		return err
	}
	return l.reopen(int64(len(b)))
}

func (l *Log) reopen(size int64) error {
	f, err := os.OpenFile(filepath.Join(l.folder.Path, logName), os.O_RDWR, fileMode)
	if err != nil {
		l.failed = classify(err)
		return l.failed
	}
	l.file.Close()
	l.file = f
	l.size = size
	return nil
}

// Encode returns records as one frame.
func Encode(records []Record) ([]byte, error) {
	payload, err := cbor.Marshal(frame{Version: formatVersion, Records: records})
	if err != nil {
		return nil, err
	}
	if len(payload) > maxFrame {
		return nil, result.New(result.ProposalTooLarge, "a batch of %d bytes is over %d", len(payload), maxFrame)
	}
	b := make([]byte, 0, headerSize+len(payload)+trailerSize)
	b = binary.LittleEndian.AppendUint32(b, frameMagic)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint64(b, xxhash.Sum64(b))
	b = append(b, payload...)
	return binary.LittleEndian.AppendUint64(b, xxhash.Sum64(payload)), nil
}

var errUnreadable = errors.New("frame cannot be read")

// Decode returns the records of all frames in content and the length of the readable part, or StorageDamaged when a readable frame follows an unreadable one.
func Decode(content []byte) ([]Record, int64, error) {
	var records []Record
	at := 0
	for at < len(content) {
		fr, n, err := decodeFrame(content[at:])
		if errors.Is(err, errUnreadable) {
			if later := findFrame(content[at+1:]); later >= 0 {
				return nil, 0, result.New(result.StorageDamaged, "log is damaged at byte %d and readable again at byte %d", at, at+1+later)
			}
			return records, int64(at), nil
		}
		if err != nil {
			return nil, 0, err
		}
		records = append(records, fr.Records...)
		at += n
	}
	return records, int64(at), nil
}

func decodeFrame(b []byte) (*frame, int, error) {
	if len(b) < headerSize+trailerSize || binary.LittleEndian.Uint32(b) != frameMagic {
		return nil, 0, errUnreadable
	}
	length := int(binary.LittleEndian.Uint32(b[4:]))
	if binary.LittleEndian.Uint64(b[8:]) != xxhash.Sum64(b[:8]) || length > maxFrame || len(b) < headerSize+length+trailerSize {
		return nil, 0, errUnreadable
	}
	payload := b[headerSize : headerSize+length]
	if binary.LittleEndian.Uint64(b[headerSize+length:]) != xxhash.Sum64(payload) {
		return nil, 0, errUnreadable
	}
	var fr frame
	if err := cbor.Unmarshal(payload, &fr); err != nil {
		return nil, 0, result.Wrap(err, result.StorageDamaged, "a frame of the log has a good checksum and no readable content")
	}
	if fr.Version > formatVersion {
		return nil, 0, result.New(result.FormatTooNew, "log format %d is newer than %d", fr.Version, formatVersion)
	}
	return &fr, headerSize + length + trailerSize, nil
}

// findFrame returns the offset of the first readable frame in b, or -1.
func findFrame(b []byte) int {
	for i := 0; i+headerSize+trailerSize <= len(b); i++ {
		if binary.LittleEndian.Uint32(b[i:]) != frameMagic {
			continue
		}
		if _, _, err := decodeFrame(b[i:]); err == nil {
			return i
		}
	}
	return -1
}
