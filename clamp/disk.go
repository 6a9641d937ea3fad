package clamp

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"github.com/go-faster/errors"
	"github.com/syndtr/goleveldb/leveldb"
	"github.com/syndtr/goleveldb/leveldb/opt"

	"tidedeck/dowel"
)

// disk keeps a core's state in one data folder. Writes are synced, in order, by a worker of
// their own, so that a disk that stalls holds up only what must wait for it.
type disk struct {
	db   *leveldb.DB
	mu   sync.Mutex // guards list
	cond *sync.Cond
	list []dowel.Save
	done func(dowel.Saved)
	fail func(error)
	stop bool
}

// openDisk opens the folder's store, strictly. A damaged one is set aside whole and an empty
// one begun: its node then starts a new life and must be admitted again.
func openDisk(dir string, fail func(error)) (*disk, map[string][]byte, bool, error) {
	path := filepath.Join(dir, "state")
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, nil, false, errors.Wrap(err, "data folder")
	}
	o := &opt.Options{Strict: opt.StrictAll}
	harm := false
	db, err := leveldb.OpenFile(path, o)
	m := map[string][]byte{}
	if err == nil {
		m, err = readAll(db)
		if err != nil {
			_ = db.Close()
		}
	}
	if err != nil && isLock(err) {
		return nil, nil, false, errors.Wrap(err, "data folder is in use")
	}
	if err != nil {
		harm = true
		side := ""
		for i := 1; ; i++ {
			side = fmt.Sprintf("%s.damaged-%d", path, i)
			if _, e := os.Stat(side); os.IsNotExist(e) {
				break
			}
		}
		if e := os.Rename(path, side); e != nil {
			return nil, nil, true, errors.Wrap(e, "set the damaged store aside")
		}
		if db, err = leveldb.OpenFile(path, o); err != nil {
			return nil, nil, true, errors.Wrap(err, "open")
		}
		m = map[string][]byte{}
	}
	d := &disk{db: db, fail: fail}
	d.cond = sync.NewCond(&d.mu)
	return d, m, harm, nil
}

func isLock(err error) bool {
	return errors.Is(err, os.ErrPermission) || err.Error() == "resource temporarily unavailable"
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
			_ = d.db.Close()
			return
		}
		b := new(leveldb.Batch)
		for _, s := range l {
			for k, v := range s.Puts {
				b.Put([]byte(k), v)
			}
		}
		if err := d.db.Write(b, &opt.WriteOptions{Sync: true}); err != nil {
			d.fail(errors.Wrap(err, "disk"))
			return
		}
		for _, s := range l {
			d.done(dowel.Saved{Token: s.Token})
		}
	}
}

func (d *disk) close() {
	d.mu.Lock()
	d.stop = true
	d.mu.Unlock()
	d.cond.Signal()
}
