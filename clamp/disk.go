package clamp

import (
	"encoding/json"
	"fmt"
	"hash/crc32"
	"hash/fnv"
	"os"
	"path/filepath"
	"strconv"
	"sync"

	"github.com/go-faster/errors"
	"github.com/syndtr/goleveldb/leveldb"
	dberrors "github.com/syndtr/goleveldb/leveldb/errors"
	"github.com/syndtr/goleveldb/leveldb/opt"
	"github.com/syndtr/goleveldb/leveldb/storage"

	"tidedeck/dowel"
	"tidedeck/gauge"
)

// disk keeps a core's state in one data folder. Writes are synced, in order, by a worker of
// their own, so that a disk that stalls holds up only what must wait for it.
//
// There are two stores in it. Each batch to the first carries a number and a digest of all
// that the store then has; once it is synced the number goes to the second, and only then is
// the batch confirmed. So a tail that the power took can be told from damage: what is found
// must fit its own digest, and be no older than what was confirmed.
type disk struct {
	db    *leveldb.DB
	mark  *leveldb.DB
	shops []storage.Storage
	num   uint64
	sums  map[string]uint32
	mu    sync.Mutex // guards list and stop
	cond  *sync.Cond
	list  []dowel.Save
	done  func(dowel.Saved)
	fail  func(error)
	stop  bool
}

const (
	sealKey = "\x00seal"
	markKey = "confirmed"
)

// seal is what every batch says of the whole store.
type seal struct {
	Num uint64
	Sum uint64
}

// vault is where one store lies: how it is opened, and how its folder is synced.
type vault struct {
	open func() (storage.Storage, error)
	sync func() error
}

type vaults struct {
	state, mark vault
	aside       func() error // puts both away, whole
}

// sure is a storage whose new files have their names synced with them, and whose manifest is
// synced before it is named the current one: goleveldb does neither by itself, so that the
// power could take a store right after it was opened, or a journal that was just begun.
type sure struct {
	storage.Storage
	sync func() error
	last map[storage.FileDesc]*sureFile // manifests not yet named
}

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
	return s.Storage.SetMeta(fd)
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
			if err == nil {
				err = syncDir(dir)
			}
			return s, err
		}}
	}
	return openVaults(vaults{state: v("state"), mark: v("mark"), aside: func() error {
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

func openVaults(v vaults, fail func(error)) (*disk, map[string][]byte, bool, error) {
	d, m, err := openBoth(v)
	harm := false
	if err != nil && harmed(err) {
		harm = true
		if err = v.aside(); err != nil {
			return nil, nil, true, errors.Wrap(err, "set the damaged store aside")
		}
		d, m, err = openBoth(v)
	}
	if err != nil {
		return nil, nil, harm, errors.Wrap(err, "data folder")
	}
	d.fail = fail
	return d, m, harm, nil
}

// errHarm says that a store is not what was confirmed.
var errHarm = errors.New("the store is damaged")

// harmed tells damage from a passing fault of the machine, which leaves the disk as it is.
func harmed(err error) bool { return errors.Is(err, errHarm) || dberrors.IsCorrupted(err) }

func (d *disk) openOne(v vault) (*leveldb.DB, error) {
	s, err := v.open()
	if err != nil {
		return nil, err
	}
	d.shops = append(d.shops, s)
	// Journals and manifests may end in what was never synced; the seal tells whether more is missing.
	return leveldb.Open(&sure{s, v.sync, map[storage.FileDesc]*sureFile{}}, &opt.Options{Strict: opt.StrictAll &^ (opt.StrictJournal | opt.StrictManifest)})
}

func openBoth(v vaults) (d *disk, m map[string][]byte, err error) {
	x := &disk{sums: map[string]uint32{}}
	x.cond = sync.NewCond(&x.mu)
	d = x
	defer func() {
		if err != nil {
			x.shut()
		}
	}()
	if d.db, err = d.openOne(v.state); err != nil {
		return nil, nil, err
	}
	if d.mark, err = d.openOne(v.mark); err != nil {
		return nil, nil, err
	}
	if m, err = readAll(d.db); err != nil {
		return nil, nil, err
	}
	var s seal
	raw, sealed := m[sealKey]
	delete(m, sealKey)
	if sealed {
		if json.Unmarshal(raw, &s) != nil {
			return nil, nil, errHarm
		}
	}
	for k, b := range m {
		d.sums[k] = crc32.ChecksumIEEE(b)
	}
	told := uint64(0)
	switch b, e := d.mark.Get([]byte(markKey), nil); {
	case e == nil:
		if told, e = strconv.ParseUint(string(b), 10, 64); e != nil {
			return nil, nil, errHarm
		}
	case !errors.Is(e, leveldb.ErrNotFound):
		return nil, nil, e
	}
	if s.Num < told || sealed && s.Sum != d.sum() {
		return nil, nil, errHarm
	}
	d.num = s.Num
	return d, m, nil
}

// sum is a digest of all that the store has.
func (d *disk) sum() uint64 {
	h := fnv.New64a()
	for _, k := range gauge.Keys(d.sums) {
		fmt.Fprintf(h, "%q:%d;", k, d.sums[k])
	}
	return h.Sum64()
}

func (d *disk) shut() {
	for _, b := range []*leveldb.DB{d.db, d.mark} {
		if b != nil {
			_ = b.Close()
		}
	}
	for _, s := range d.shops {
		_ = s.Close()
	}
}

func readAll(db *leveldb.DB) (map[string][]byte, error) {
	m := map[string][]byte{}
	i := db.NewIterator(nil, &opt.ReadOptions{Strict: opt.StrictAll})
	defer i.Release()
	for i.Next() {
		m[string(i.Key())] = append([]byte{}, i.Value()...)
	}
	return m, i.Error()
}

func (d *disk) put(s dowel.Save) {
	d.mu.Lock()
	d.list = append(d.list, s)
	d.mu.Unlock()
	d.cond.Signal()
}

// run writes what is queued; what came meanwhile goes into one batch.
func (d *disk) run() {
	for {
		d.mu.Lock()
		for len(d.list) == 0 && !d.stop {
			d.cond.Wait()
		}
		l := d.list
		d.list = nil
		end := d.stop && len(l) == 0
		d.mu.Unlock()
		if end {
			d.shut()
			return
		}
		if err := d.write(l); err != nil {
			d.shut()
			d.fail(errors.Wrap(err, "disk"))
			return
		}
		for _, s := range l {
			d.done(dowel.Saved{Token: s.Token})
		}
	}
}

func (d *disk) write(l []dowel.Save) error {
	b := new(leveldb.Batch)
	for _, s := range l {
		for k, v := range s.Puts {
			b.Put([]byte(k), v)
			d.sums[k] = crc32.ChecksumIEEE(v)
		}
	}
	d.num++
	s, err := json.Marshal(seal{d.num, d.sum()})
	if err != nil {
		return err
	}
	b.Put([]byte(sealKey), s)
	if err := d.db.Write(b, &opt.WriteOptions{Sync: true}); err != nil {
		return err
	}
	return d.mark.Put([]byte(markKey), strconv.AppendUint(nil, d.num, 10), &opt.WriteOptions{Sync: true})
}

func (d *disk) close() {
	d.mu.Lock()
	d.stop = true
	d.mu.Unlock()
	d.cond.Signal()
}
