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

// seal is what every batch says of the whole state store: the batch's number, and a digest of
// all that the store then has.
type seal struct {
	Num uint64
	Sum uint64
}

// storeFolder is where one store lies: how it is opened, how its folder is synced, and how it
// is emptied of a store that was never quite begun.
type storeFolder struct {
	open  func() (storage.Storage, error)
	sync  func() error
	reset func() error
}

// storeFolders are where both stores lie.
type storeFolders struct {
	state, mark storeFolder
	setAside    func() error // puts both away, whole
	backoff     backoff
}

// stores are both stores while they are open, and what the first has in it.
type stores struct {
	state    *leveldb.DB
	mark     *leveldb.DB
	storages []storage.Storage
	num      uint64 // the number of the last batch in the state store
	marked   uint64 // the number that the mark store has
	sums     map[string]uint32
}

// errDamaged says that a store is not what was confirmed.
var errDamaged = errors.New("the store is damaged")

// isDamage tells damage from a passing fault of the machine, which leaves the disk as it is.
// A file that ends too soon or is not there is damage too: goleveldb gives the storage's own error
// for some of these, and no later try would find more.
func isDamage(err error) bool {
	for _, sign := range []error{errDamaged, io.EOF, io.ErrUnexpectedEOF, os.ErrNotExist} {
		if errors.Is(err, sign) {
			return true
		}
	}
	return dberrors.IsCorrupted(err)
}

// storeOptions keep what is written beside the values little: a disk that is almost full has
// room for what must be written to open the stores, and little memory goes to files that are
// read only then.
var storeOptions = opt.Options{
	// Journals and manifests may end in what was never synced; the seal tells whether more is missing.
	Strict:                       opt.StrictAll &^ (opt.StrictJournal | opt.StrictManifest),
	WriteBuffer:                  256 * opt.KiB,
	CompactionTableSize:          256 * opt.KiB,
	CompactionTotalSize:          opt.MiB,
	BlockCacheCapacity:           -1,
	OpenFilesCacheCapacity:       8,
	DisableLargeBatchTransaction: true, // which would take several syncs where a journal takes one
}

// openStores opens a disk, and gives the values found and whether damaged stores had to be set
// aside for it.
func openStores(f storeFolders, fail func(error)) (*disk, map[string][]byte, bool, error) {
	values := map[string][]byte{}
	keep := func(key string, value []byte) { values[key] = append([]byte{}, value...) }
	s, err := openPair(f, keep)
	damaged := err != nil && isDamage(err)
	if damaged {
		if err = f.setAside(); err != nil {
			return nil, nil, true, errors.Wrap(err, "set the damaged store aside")
		}
		clear(values)
		s, err = openPair(f, keep)
	}
	if err != nil {
		return nil, nil, damaged, errors.Wrap(err, "data folder")
	}
	return newDisk(f, s, fail), values, damaged, nil
}

// openPair opens both stores, checks them against each other, and shows each value in the
// state store.
func openPair(f storeFolders, each func(key string, value []byte)) (_ *stores, err error) {
	s := &stores{sums: map[string]uint32{}}
	defer func() {
		if err != nil {
			s.shut()
		}
	}()
	if s.state, err = s.openOne(f.state); err != nil {
		return nil, err
	}
	if s.mark, err = s.openOne(f.mark); err != nil {
		return nil, err
	}
	found, err := s.readState(each)
	if err != nil {
		return nil, err
	}
	if s.marked, err = readMark(s.mark); err != nil {
		return nil, err
	}
	if found != nil {
		s.num = found.Num
	}
	if s.num < s.marked || found != nil && *found != s.seal() {
		return nil, errDamaged
	}
	return s, nil
}

func (s *stores) openOne(f storeFolder) (*leveldb.DB, error) {
	files, err := f.open()
	if err != nil {
		return nil, err
	}
	s.storages = append(s.storages, files)
	if err := resetUnfinished(files, f); err != nil {
		return nil, err
	}
	return leveldb.Open(newDurableStorage(files, f.sync), &storeOptions)
}

// resetUnfinished empties a store that has neither journals nor tables, and so never had
// anything confirmed, if no manifest is named in it: its beginning broke off.
func resetUnfinished(files storage.Storage, f storeFolder) error {
	list, err := files.List(storage.TypeJournal | storage.TypeTable)
	if err != nil || len(list) > 0 {
		return err
	}
	if _, err = files.GetMeta(); os.IsNotExist(err) || dberrors.IsCorrupted(err) {
		return f.reset()
	}
	return err
}

// readState shows each value and gives the seal, if there is one.
func (s *stores) readState(each func(key string, value []byte)) (*seal, error) {
	var found *seal
	i := s.state.NewIterator(nil, &opt.ReadOptions{Strict: opt.StrictAll})
	defer i.Release()
	for i.Next() {
		key, value := string(i.Key()), i.Value()
		if key == sealKey {
			found = new(seal)
			if json.Unmarshal(value, found) != nil {
				return nil, errDamaged
			}
			continue
		}
		s.sums[key] = crc32.ChecksumIEEE(value)
		each(key, value)
	}
	return found, i.Error()
}

// readMark gives the number of the last batch confirmed; a new store has none.
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

// seal says what the state store has now.
func (s *stores) seal() seal {
	h := fnv.New64a()
	for _, key := range generic.SortedKeys(s.sums) {
		fmt.Fprintf(h, "%q:%d;", key, s.sums[key])
	}
	return seal{s.num, h.Sum64()}
}

func (s *stores) shut() {
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
