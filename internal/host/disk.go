package host

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"hash/fnv"
	"maps"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/syndtr/goleveldb/leveldb"
	dberrors "github.com/syndtr/goleveldb/leveldb/errors"
	"github.com/syndtr/goleveldb/leveldb/opt"
	"github.com/syndtr/goleveldb/leveldb/storage"

	"tidedeck/internal/generic"
	"tidedeck/internal/protocol"
)

// disk keeps a core's state in one data folder. Writes are synced, in order, by a worker of
// their own, so that a disk that stalls holds up only what must wait for it.
//
// There are two stores in it. Each batch to the first carries a number and a digest of all
// that the store then has; once it is synced the number goes to the second, and only then is
// the batch confirmed. So a tail that the power took can be told from damage: what is found
// must fit its own digest, and be no older than what was confirmed.
//
// A write that fails is not confirmed: the stores are opened anew, as they take no more after
// it, until the disk takes what is due. It may be found there or not; what is found must be
// either the last state found or confirmed, or the one whose write failed.
type disk struct {
	*stores
	v     vaults
	firm  uint64     // the last number confirmed
	held  seal       // the last state found or confirmed
	tried seal       // the state whose write was tried last
	mu    sync.Mutex // guards next and stop
	next  batch
	stop  bool
	more  chan struct{} // next has something
	quit  chan struct{} // closed with stop
	done  func(protocol.Saved)
	note  func(string)
	fail  func(error) // hears of damage
}

// stores are both stores while they are open, and what the first has in it.
type stores struct {
	db    *leveldb.DB
	mark  *leveldb.DB
	shops []storage.Storage
	num   uint64
	told  uint64 // the number that the second store has
	sums  map[string]uint32
}

// batch is what waits to be written: of each key the last value, and whom to tell.
type batch struct {
	puts   map[string][]byte
	tokens []uint64
}

func (b *batch) add(puts map[string][]byte, tokens ...uint64) {
	if b.puts == nil {
		b.puts = make(map[string][]byte, len(puts))
	}
	maps.Copy(b.puts, puts)
	b.tokens = append(b.tokens, tokens...)
}

// pause is how long to wait between tries, at first and at most.
type pause struct{ least, most time.Duration }

func (p pause) longer(w time.Duration) time.Duration { return max(p.least, min(2*w, p.most)) }

const (
	sealKey = "\x00seal"
	markKey = "confirmed"
)

// seal is what every batch says of the whole store.
type seal struct {
	Num uint64
	Sum uint64
}

// vault is where one store lies: how it is opened, how its folder is synced, and how it is
// emptied of a store that was never quite begun.
type vault struct {
	open func() (storage.Storage, error)
	sync func() error
	bare func() error
}

type vaults struct {
	state, mark vault
	aside       func() error // puts both away, whole
	pause       pause
}

// sure is a storage whose new files have their names synced with them, and whose manifest is
// synced before it is named the current one: goleveldb does neither by itself, so that the
// power could take a store right after it was opened, or a journal that was just begun.
type sure struct {
	storage.Storage
	sync func() error
	last map[storage.FileDesc]*sureFile // manifests not yet named
	half map[storage.FileDesc]bool      // manifests whose naming failed, and which may be named
}

// Log drops what goleveldb tells of its work: it would cost the disk writes.
func (s *sure) Log(string) {}

type sureFile struct {
	storage.Writer
	sync func() error
	once bool
}

// Create makes a file whose first sync also syncs the folder.
func (s *sure) Create(fd storage.FileDesc) (storage.Writer, error) {
	w, err := s.Storage.Create(fd)
	if err != nil {
		return nil, err
	}
	f := &sureFile{Writer: w, sync: s.sync}
	if fd.Type == storage.TypeManifest {
		s.last[fd] = f
	}
	return f, nil
}

// SetMeta names the current manifest, which must last before its name does.
func (s *sure) SetMeta(fd storage.FileDesc) error {
	if f := s.last[fd]; f != nil {
		if err := f.Sync(); err != nil {
			return err
		}
		delete(s.last, fd)
	}
	err := s.Storage.SetMeta(fd)
	if err != nil {
		s.half[fd] = true
	}
	return err
}

// Remove keeps a manifest that may be the current one: goleveldb takes a naming that failed
// for one that did nothing.
func (s *sure) Remove(fd storage.FileDesc) error {
	if s.half[fd] {
		return nil
	}
	return s.Storage.Remove(fd)
}

// Sync syncs the file and, the first time, its name.
func (f *sureFile) Sync() error {
	if err := f.Writer.Sync(); err != nil || f.once {
		return err
	}
	if err := f.sync(); err != nil {
		return err
	}
	f.once = true
	return nil
}

func syncDir(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// openDisk opens the folder's stores. Damaged ones are set aside whole and empty ones begun:
// the node then starts a new life and must be admitted again.
func openDisk(dir string, fail func(error)) (*disk, map[string][]byte, bool, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, nil, false, errors.Wrap(err, "data folder")
	}
	if err := syncDir(filepath.Dir(dir)); err != nil {
		return nil, nil, false, errors.Wrap(err, "data folder")
	}
	v := func(name string) vault {
		path := filepath.Join(dir, name)
		return vault{sync: func() error { return syncDir(path) }, open: func() (storage.Storage, error) {
			s, err := storage.OpenFile(path, false)
			if err != nil {
				return nil, err
			}
			if err := syncDir(dir); err != nil {
				_ = s.Close() // or its lock would stay
				return nil, err
			}
			return s, nil
		}, bare: func() error {
			for _, n := range []string{"CURRENT*", "MANIFEST-*"} {
				l, err := filepath.Glob(filepath.Join(path, n))
				if err != nil {
					return err
				}
				for _, f := range l {
					if err := os.Remove(f); err != nil {
						return err
					}
				}
			}
			return syncDir(path)
		}}
	}
	return openVaults(vaults{pause: retry, state: v("state"), mark: v("mark"), aside: func() error {
		for i := 1; ; i++ {
			side := func(n string) string { return filepath.Join(dir, fmt.Sprintf("%s.damaged-%d", n, i)) }
			if _, err := os.Stat(side("state")); !os.IsNotExist(err) {
				continue
			}
			// The mark goes last: should the power go in between, it still says what is missing.
			for _, n := range []string{"state", "mark"} {
				if err := os.Rename(filepath.Join(dir, n), side(n)); err != nil && !os.IsNotExist(err) {
					return err
				}
			}
			return syncDir(dir)
		}
	}}, fail)
}

// retry is the pause between tries of a disk that refuses.
var retry = pause{50 * time.Millisecond, time.Second}

// awaitDisk opens a disk, for as long as it takes one that is full or refuses to come back;
// note hears of the first fault.
func awaitDisk(ctx context.Context, p pause, open func() (*disk, map[string][]byte, bool, error), note func(error)) (*disk, map[string][]byte, bool, error) {
	harm := false
	for wait := p.least; ; wait = p.longer(wait) {
		d, m, h, err := open()
		harm = harm || h
		if err == nil {
			return d, m, harm, nil
		}
		if note != nil {
			note(err)
			note = nil
		}
		select {
		case <-ctx.Done():
			return nil, nil, harm, err
		case <-time.After(wait):
		}
	}
}

func openVaults(v vaults, fail func(error)) (*disk, map[string][]byte, bool, error) {
	m := map[string][]byte{}
	each := func(k string, b []byte) { m[k] = append([]byte{}, b...) }
	s, err := openBoth(v, each)
	harm := false
	if err != nil && harmed(err) {
		harm = true
		if err = v.aside(); err != nil {
			return nil, nil, true, errors.Wrap(err, "set the damaged store aside")
		}
		clear(m)
		s, err = openBoth(v, each)
	}
	if err != nil {
		return nil, nil, harm, errors.Wrap(err, "data folder")
	}
	d := &disk{stores: s, v: v, firm: s.num, held: s.seal(), more: make(chan struct{}, 1), quit: make(chan struct{}), note: func(string) {}, fail: fail}
	return d, m, harm, nil
}

// errHarm says that a store is not what was confirmed.
var errHarm = errors.New("the store is damaged")

// harmed tells damage from a passing fault of the machine, which leaves the disk as it is.
func harmed(err error) bool { return errors.Is(err, errHarm) || dberrors.IsCorrupted(err) }

// small keeps what is written beside the values little: a disk that is almost full has room
// for what must be written to open the stores, and little memory goes to files that are read
// only then.
var small = opt.Options{
	// Journals and manifests may end in what was never synced; the seal tells whether more is missing.
	Strict:                       opt.StrictAll &^ (opt.StrictJournal | opt.StrictManifest),
	WriteBuffer:                  256 * opt.KiB,
	CompactionTableSize:          256 * opt.KiB,
	CompactionTotalSize:          opt.MiB,
	BlockCacheCapacity:           -1,
	OpenFilesCacheCapacity:       8,
	DisableLargeBatchTransaction: true, // which would take several syncs where a journal takes one
}

func (s *stores) openOne(v vault) (*leveldb.DB, error) {
	x, err := v.open()
	if err != nil {
		return nil, err
	}
	s.shops = append(s.shops, x)
	if err := begun(x, v); err != nil {
		return nil, err
	}
	return leveldb.Open(&sure{x, v.sync, map[storage.FileDesc]*sureFile{}, map[storage.FileDesc]bool{}}, &small)
}

// begun empties a vault that has neither journals nor tables, and so never had anything
// confirmed, if no manifest is named in it: its beginning broke off.
func begun(x storage.Storage, v vault) error {
	l, err := x.List(storage.TypeJournal | storage.TypeTable)
	if err != nil || len(l) > 0 {
		return err
	}
	if _, err = x.GetMeta(); os.IsNotExist(err) || dberrors.IsCorrupted(err) {
		return v.bare()
	}
	return err
}

// openBoth opens the stores and shows each value in the first.
func openBoth(v vaults, each func(k string, b []byte)) (_ *stores, err error) {
	s := &stores{sums: map[string]uint32{}}
	defer func() {
		if err != nil {
			s.shut()
		}
	}()
	if s.db, err = s.openOne(v.state); err != nil {
		return nil, err
	}
	if s.mark, err = s.openOne(v.mark); err != nil {
		return nil, err
	}
	var found seal
	sealed := false
	if err = readAll(s.db, func(k string, b []byte) error {
		if k == sealKey {
			sealed = true
			if json.Unmarshal(b, &found) != nil {
				return errHarm
			}
			return nil
		}
		s.sums[k] = crc32.ChecksumIEEE(b)
		each(k, b)
		return nil
	}); err != nil {
		return nil, err
	}
	switch b, e := s.mark.Get([]byte(markKey), nil); {
	case e == nil:
		if s.told, e = strconv.ParseUint(string(b), 10, 64); e != nil {
			return nil, errHarm
		}
	case !errors.Is(e, leveldb.ErrNotFound):
		return nil, e
	}
	s.num = found.Num
	if s.num < s.told || sealed && found != s.seal() {
		return nil, errHarm
	}
	return s, nil
}

// seal says what the first store has now.
func (s *stores) seal() seal {
	h := fnv.New64a()
	for _, k := range generic.SortedKeys(s.sums) {
		fmt.Fprintf(h, "%q:%d;", k, s.sums[k])
	}
	return seal{s.num, h.Sum64()}
}

func (s *stores) shut() {
	for _, b := range []*leveldb.DB{s.db, s.mark} {
		if b != nil {
			_ = b.Close()
		}
	}
	for _, x := range s.shops {
		_ = x.Close()
	}
	*s = stores{}
}

func readAll(db *leveldb.DB, each func(k string, b []byte) error) error {
	i := db.NewIterator(nil, &opt.ReadOptions{Strict: opt.StrictAll})
	defer i.Release()
	for i.Next() {
		if err := each(string(i.Key()), i.Value()); err != nil {
			return err
		}
	}
	return i.Error()
}

func (d *disk) put(s protocol.Save) {
	d.mu.Lock()
	d.next.add(s.Puts, s.Token)
	d.mu.Unlock()
	select {
	case d.more <- struct{}{}:
	default:
	}
}

// run writes what is queued; what came meanwhile goes into one batch. What the disk refuses
// is tried again until it is taken, or the end is asked for.
func (d *disk) run() {
	var due batch
	tries, wait, ending := 0, d.v.pause.least, false
	for {
		d.mu.Lock()
		due.add(d.next.puts, d.next.tokens...)
		d.next = batch{}
		d.mu.Unlock()
		if len(due.tokens) == 0 {
			if ending {
				d.shut()
				return
			}
			select {
			case <-d.more:
			case <-d.quit:
				ending = true
			}
			continue
		}
		err := d.try(due.puts, tries > 0)
		switch {
		case err == nil:
			if tries > 0 {
				d.note(fmt.Sprintf("the disk takes writes again, at try %d", tries+1))
			}
			tries, wait = 0, d.v.pause.least
			for _, t := range due.tokens {
				d.done(protocol.Saved{Token: t})
			}
			due = batch{}
			continue
		case harmed(err):
			d.shut()
			d.fail(errors.Wrap(err, "disk"))
			return
		case ending:
			d.shut()
			return
		}
		if tries++; tries == 1 {
			d.note(fmt.Sprintf("the disk refuses, and nothing is confirmed until it takes writes again: %v", err))
		}
		select {
		case <-time.After(wait):
		case <-d.quit:
			ending = true
		}
		wait = d.v.pause.longer(wait)
	}
}

// try writes a batch, to stores opened anew if the last try failed.
func (d *disk) try(puts map[string][]byte, anew bool) error {
	if anew {
		d.shut()
		s, err := openBoth(d.v, func(string, []byte) {})
		if err != nil {
			return err
		}
		d.stores = s
		found := s.seal()
		if found != d.held && found != d.tried || s.told < d.firm {
			return errHarm
		}
		d.held = found
	}
	return d.write(puts)
}

func (d *disk) write(puts map[string][]byte) error {
	b := new(leveldb.Batch)
	for k, v := range puts {
		b.Put([]byte(k), v)
		d.sums[k] = crc32.ChecksumIEEE(v)
	}
	d.num++
	d.tried = d.seal()
	s, err := json.Marshal(d.tried)
	if err != nil {
		return err
	}
	b.Put([]byte(sealKey), s)
	if err := d.db.Write(b, &opt.WriteOptions{Sync: true}); err != nil {
		return err
	}
	if err := d.mark.Put([]byte(markKey), strconv.AppendUint(nil, d.num, 10), &opt.WriteOptions{Sync: true}); err != nil {
		return err
	}
	d.held, d.firm = d.tried, d.num
	return nil
}

func (d *disk) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.stop {
		d.stop = true
		close(d.quit)
	}
}
