package host

import (
	"encoding/json"
	"fmt"
	"hash/crc32"
	"hash/fnv"
	"io"
	"os"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/syndtr/goleveldb/leveldb"
	dberrors "github.com/syndtr/goleveldb/leveldb/errors"
	"github.com/syndtr/goleveldb/leveldb/opt"
	"github.com/syndtr/goleveldb/leveldb/storage"

	"tidedeck/internal/generic"
)

const (
	sealKey = "\x00seal"
	markKey = "confirmed"
)

// seal is part of every batch and describes the whole state store: the batch's number and a digest of the store's
// resulting content.
type seal struct {
	Num    uint64
	Digest uint64 `json:"Sum"`
}

// storeFolder gives access to the folder of one store: opening it, syncing it, and clearing it after an incomplete
// creation.
type storeFolder struct {
	open  func() (storage.Storage, error)
	sync  func() error
	reset func() error
}

// storeFolders gives access to both stores.
type storeFolders struct {
	state, mark storeFolder
	setAside    func() error // renames both stores
	backoff     backoff
}

// stores are the two open stores and a summary of the state store's content.
type stores struct {
	state     *leveldb.DB
	mark      *leveldb.DB
	storages  []storage.Storage
	num       uint64 // number of the last batch in the state store
	markNum   uint64 // number in the mark store
	checksums map[string]uint32
}

// errDamaged means that a store does not contain what was confirmed.
var errDamaged = errors.New("store is damaged")

// isDamage distinguishes damage from a temporary fault of the machine, which leaves the disk unchanged. A truncated
// or missing file is damage as well: goleveldb returns the storage's own error for some of these, and a retry would
// not help.
func isDamage(err error) bool {
	for _, sign := range []error{errDamaged, io.EOF, io.ErrUnexpectedEOF, os.ErrNotExist} {
		if errors.Is(err, sign) {
			return true
		}
	}
	return dberrors.IsCorrupted(err)
}

// storeOptions minimize the data written in addition to the values, so that an almost full disk has room for the
// writes needed to open the stores, and they limit the memory for files that are read only then.
var storeOptions = opt.Options{
	// Journals and manifests may end in unsynced data; the seal shows whether more is missing.
	Strict:                       opt.StrictAll &^ (opt.StrictJournal | opt.StrictManifest),
	WriteBuffer:                  256 * opt.KiB,
	CompactionTableSize:          256 * opt.KiB,
	CompactionTotalSize:          opt.MiB,
	BlockCacheCapacity:           -1,
	OpenFilesCacheCapacity:       8,
	DisableLargeBatchTransaction: true, // it would need several syncs where a journal needs one
}

// openStores opens a disk. It returns the stored values and whether damaged stores were set aside.
func openStores(folders storeFolders, fail func(error)) (*disk, map[string][]byte, bool, error) {
	values := map[string][]byte{}
	keep := func(key string, value []byte) { values[key] = append([]byte{}, value...) }
	opened, err := openPair(folders, keep)
	damaged := err != nil && isDamage(err)
	if damaged {
		if err = folders.setAside(); err != nil {
			return nil, nil, true, errors.Wrap(err, "move the damaged stores aside")
		}
		clear(values)
		opened, err = openPair(folders, keep)
	}
	if err != nil {
		return nil, nil, damaged, errors.Wrap(err, "data folder")
	}
	return newDisk(folders, opened, fail), values, damaged, nil
}

// openPair opens both stores, verifies them against each other, and calls each for every value in the state store.
func openPair(folders storeFolders, each func(key string, value []byte)) (_ *stores, err error) {
	opened := &stores{checksums: map[string]uint32{}}
	defer func() {
		if err != nil {
			opened.closeAll()
		}
	}()
	if opened.state, err = opened.openOne(folders.state); err != nil {
		return nil, err
	}
	if opened.mark, err = opened.openOne(folders.mark); err != nil {
		return nil, err
	}
	found, err := opened.readState(each)
	if err != nil {
		return nil, err
	}
	if opened.markNum, err = readMark(opened.mark); err != nil {
		return nil, err
	}
	if found != nil {
		opened.num = found.Num
	}
	if opened.num < opened.markNum || found != nil && *found != opened.seal() {
		return nil, errDamaged
	}
	return opened, nil
}

func (s *stores) openOne(folder storeFolder) (*leveldb.DB, error) {
	files, err := folder.open()
	if err != nil {
		return nil, err
	}
	s.storages = append(s.storages, files)
	if err := resetUnfinished(files, folder); err != nil {
		return nil, err
	}
	return leveldb.Open(newDurableStorage(files, folder.sync), &storeOptions)
}

// resetUnfinished clears a store that has neither journals nor tables, and so never confirmed anything, if it has no
// current manifest: its creation was interrupted.
func resetUnfinished(files storage.Storage, folder storeFolder) error {
	list, err := files.List(storage.TypeJournal | storage.TypeTable)
	if err != nil || len(list) > 0 {
		return err
	}
	if _, err = files.GetMeta(); os.IsNotExist(err) || dberrors.IsCorrupted(err) {
		return folder.reset()
	}
	return err
}

// readState calls each for every value and returns the seal, if there is one.
func (s *stores) readState(each func(key string, value []byte)) (*seal, error) {
	var found *seal
	iterator := s.state.NewIterator(nil, &opt.ReadOptions{Strict: opt.StrictAll})
	defer iterator.Release()
	for iterator.Next() {
		key, value := string(iterator.Key()), iterator.Value()
		if key == sealKey {
			found = new(seal)
			if json.Unmarshal(value, found) != nil {
				return nil, errDamaged
			}
			continue
		}
		s.checksums[key] = crc32.ChecksumIEEE(value)
		each(key, value)
	}
	return found, iterator.Error()
}

// readMark returns the number of the last confirmed batch, or 0 for a new store.
func readMark(mark *leveldb.DB) (uint64, error) {
	value, err := mark.Get([]byte(markKey), nil)
	if errors.Is(err, leveldb.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	n, err := strconv.ParseUint(string(value), 10, 64)
	if err != nil {
		return 0, errDamaged
	}
	return n, nil
}

// seal returns the seal of the state store's current content.
func (s *stores) seal() seal {
	digest := fnv.New64a()
	for _, key := range generic.SortedKeys(s.checksums) {
		fmt.Fprintf(digest, "%q:%d;", key, s.checksums[key])
	}
	return seal{s.num, digest.Sum64()}
}

func (s *stores) closeAll() {
	for _, db := range []*leveldb.DB{s.state, s.mark} {
		if db != nil {
			_ = db.Close()
		}
	}
	for _, files := range s.storages {
		_ = files.Close()
	}
	*s = stores{}
}
