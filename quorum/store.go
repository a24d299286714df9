package quorum

import (
	"context"
	"encoding/binary"
	"fmt"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"github.com/dunlinquay/dunlinquay/disk"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/result"
)

const (
	snapshotFormat = 1
	identityFormat = 1
	identityFile   = "identity"
	checksumSize   = 8
	// rewriteAfterBytes is the size of the shared log above which a snapshot also compacts it.
	rewriteAfterBytes = 4 << 20
)

// Store keeps the hard states, entries and snapshots of all instances in one data folder.
type Store struct {
	folder *disk.Folder
	log    *disk.Log
	id     MemberID

	mu        sync.Mutex
	tails     map[Instance]*tail
	snapshots map[Instance]*Snapshot
}

// tail is the part of the shared log that one instance still needs.
type tail struct {
	hardState HardState
	entries   []Entry
}

type storedRecord struct {
	Hard    *HardState `cbor:"1,keyasint,omitempty"`
	Entries []Entry    `cbor:"2,keyasint,omitempty"`
}

type identity struct {
	Format int      `cbor:"1,keyasint"`
	ID     MemberID `cbor:"2,keyasint"`
}

// OpenStore opens the data folder of the member called name; an empty folder gets a new folder id.
func OpenStore(folder *disk.Folder, name ident.Daemon) (*Store, error) {
	s := &Store{folder: folder, tails: map[Instance]*tail{}, snapshots: map[Instance]*Snapshot{}}
	if err := s.readIdentity(name); err != nil {
		return nil, err
	}
	log, records, err := disk.OpenLog(folder)
	if err != nil {
		return nil, err
	}
	s.log = log
	for _, r := range records {
		if err := s.replay(r); err != nil {
			log.Close()
			return nil, err
		}
	}
	return s, nil
}

func (s *Store) readIdentity(name ident.Daemon) error {
	content, err := s.folder.ReadFile(identityFile)
	if err != nil {
		return result.Wrap(err, result.StorageDamaged, "identity file cannot be read")
	}
	if content == nil {
		return s.newIdentity(name)
	}
	var found identity
	if err := unseal(content, &found); err != nil {
		return err
	}
	if found.Format > identityFormat {
		return result.New(result.FormatTooNew, "identity format %d is newer than %d", found.Format, identityFormat)
	}
	if found.ID.Name != name {
		return result.New(result.WrongFolder, "data folder %s belongs to %s, not to %s", s.folder.Path, found.ID.Name, name)
	}
	s.id = found.ID
	return nil
}

func (s *Store) newIdentity(name ident.Daemon) error {
	s.id = MemberID{Name: name, Folder: FolderID(uuid.NewString())}
	content, err := seal(identity{Format: identityFormat, ID: s.id})
	if err != nil {
		return err
	}
	return s.folder.WriteFile(identityFile, content)
}

// seal encodes v and appends a checksum.
func seal(v any) ([]byte, error) {
	b, err := cbor.Marshal(v)
	if err != nil {
		return nil, err
	}
	return binary.LittleEndian.AppendUint64(b, xxhash.Sum64(b)), nil
}

func unseal(b []byte, v any) error {
	n := len(b) - checksumSize
	if n < 0 || binary.LittleEndian.Uint64(b[n:]) != xxhash.Sum64(b[:n]) {
		return result.New(result.StorageDamaged, "a file of the data folder has a wrong checksum")
	}
	if err := cbor.Unmarshal(b[:n], v); err != nil {
		return result.Wrap(err, result.StorageDamaged, "a file of the data folder cannot be decoded")
	}
	return nil
}

func (s *Store) replay(r disk.Record) error {
	var record storedRecord
	if err := cbor.Unmarshal(r.Data, &record); err != nil {
		return result.Wrap(err, result.StorageDamaged, "a record of the log cannot be decoded")
	}
	s.tail(Instance(r.Instance)).add(&record)
	return nil
}

func (s *Store) tail(i Instance) *tail {
	t := s.tails[i]
	if t == nil {
		t = &tail{}
		s.tails[i] = t
	}
	return t
}

// add applies a record; its entries replace all entries at their index and after.
func (t *tail) add(record *storedRecord) {
	if record.Hard != nil {
		t.hardState = *record.Hard
	}
	if len(record.Entries) == 0 {
		return
	}
	keep := len(t.entries)
	for keep > 0 && t.entries[keep-1].Index >= record.Entries[0].Index {
		keep--
	}
	t.entries = append(t.entries[:keep:keep], record.Entries...)
}

// dropThrough drops entries up to and including index.
func (t *tail) dropThrough(index Index) {
	i := 0
	for i < len(t.entries) && t.entries[i].Index <= index {
		i++
	}
	t.entries = append([]Entry(nil), t.entries[i:]...)
}

// ID returns the member id of this data folder.
func (s *Store) ID() MemberID {
	return s.id
}

// Run writes batches until ctx is done.
func (s *Store) Run(ctx context.Context) {
	s.log.Run(ctx)
}

// Close closes a store that will not run.
func (s *Store) Close() {
	s.log.Close()
}

// Syncs returns the number of batches synced since the start.
func (s *Store) Syncs() uint64 {
	return s.log.Syncs()
}

// Load returns the snapshot (nil if the instance was never formed), the hard state and the entries after the snapshot.
func (s *Store) Load(i Instance) (*Snapshot, HardState, []Entry, error) {
	content, err := s.folder.ReadFile(snapshotName(i))
	if err != nil {
		return nil, HardState{}, nil, result.Wrap(err, result.StorageDamaged, "snapshot cannot be read")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tail(i)
	if content == nil {
		return nil, t.hardState, nil, nil
	}
	snapshot := &Snapshot{}
	if err := unseal(content, snapshot); err != nil {
		return nil, HardState{}, nil, err
	}
	if snapshot.Format > snapshotFormat {
		return nil, HardState{}, nil, result.New(result.FormatTooNew, "snapshot format %d is newer than %d", snapshot.Format, snapshotFormat)
	}
	if err := t.alignTo(snapshot); err != nil {
		return nil, HardState{}, nil, err
	}
	s.snapshots[i] = snapshot
	return snapshot, t.hardState, t.entries, nil
}

// alignTo keeps only the entries that continue the snapshot. A crash between installing a leader's snapshot and
// compacting the log leaves entries of another history in the log.
func (t *tail) alignTo(snapshot *Snapshot) error {
	for _, e := range t.entries {
		if e.Index == snapshot.Index && e.Term != snapshot.Term {
			t.entries = nil
			return nil
		}
	}
	t.dropThrough(snapshot.Index)
	if len(t.entries) > 0 && t.entries[0].Index != snapshot.Index+1 {
		return result.New(result.StorageDamaged, "the log starts at index %d, but the snapshot ends at index %d", t.entries[0].Index, snapshot.Index)
	}
	return nil
}

func snapshotName(i Instance) string {
	return fmt.Sprintf("snapshot-%d", i)
}

// Save returns once the hard state (if not nil) and entries are synced; concurrent calls share a sync.
func (s *Store) Save(ctx context.Context, i Instance, hardState *HardState, entries []Entry) error {
	record := storedRecord{Hard: hardState, Entries: entries}
	data, err := cbor.Marshal(record)
	if err != nil {
		return err
	}
	// The copy in memory is ahead of the disk, so that a rewrite by another instance cannot lose this record.
	s.mu.Lock()
	s.tail(i).add(&record)
	s.mu.Unlock()
	return s.log.Append(ctx, []disk.Record{{Instance: uint32(i), Data: data}})
}

// SaveSnapshot returns once the snapshot is synced. Entries up to dropThrough leave the log, or all of them if the
// snapshot replaces another history.
func (s *Store) SaveSnapshot(i Instance, snapshot *Snapshot, dropThrough Index, replaces bool) error {
	content, err := seal(snapshot)
	if err != nil {
		return err
	}
	if err := s.folder.WriteFile(snapshotName(i), content); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshots[i] = snapshot
	t := s.tail(i)
	if replaces {
		t.entries = nil
		return s.rewrite()
	}
	t.dropThrough(dropThrough)
	if s.log.Size() > rewriteAfterBytes {
		return s.rewrite()
	}
	return nil
}

// Snapshot returns the newest snapshot of the instance on disk, or nil.
func (s *Store) Snapshot(i Instance) *Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshots[i]
}

func (s *Store) rewrite() error {
	var records []disk.Record
	for i, t := range s.tails {
		hardState := t.hardState
		data, err := cbor.Marshal(storedRecord{Hard: &hardState, Entries: t.entries})
		if err != nil {
			return err
		}
		records = append(records, disk.Record{Instance: uint32(i), Data: data})
	}
	return s.log.Rewrite(records)
}
