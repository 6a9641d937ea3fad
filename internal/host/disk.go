package host

import (
	"encoding/json"
	"fmt"
	"hash/crc32"
	"maps"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/syndtr/goleveldb/leveldb"
	"github.com/syndtr/goleveldb/leveldb/opt"

	"tidedeck/internal/protocol"
)

// disk keeps a core's state in one data folder. Writes are synced, in order, by a worker of
// their own, so that a disk that stalls holds up only what must wait for it.
//
// There are two stores in it. Each batch to the first carries a number and a digest of all
// that the store then has; once it is synced the number goes to the second, and only then is
// the batch confirmed. So a tail that a loss of power took can be told from damage: what is
// found must fit its own digest, and be no older than what was confirmed.
//
// A write that fails is not confirmed: the stores are opened anew, as they take no more after
// it, until the disk takes what is due. It may be found there or not; what is found must be
// either the last state found or confirmed, or the one whose write failed.
type disk struct {
	*stores
	folders   storeFolders
	confirmed uint64     // the number of the last batch confirmed
	last      seal       // the last state found or confirmed
	attempted seal       // the state whose write was tried last
	mu        sync.Mutex // guards next and closed
	next      batch
	closed    bool
	wake      chan struct{} // next has something
	quit      chan struct{} // closed with closed
	done      func(protocol.Saved)
	note      func(string)
	fail      func(error) // hears of damage
}

func newDisk(f storeFolders, s *stores, fail func(error)) *disk {
	return &disk{
		stores:    s,
		folders:   f,
		confirmed: s.num,
		last:      s.seal(),
		wake:      make(chan struct{}, 1),
		quit:      make(chan struct{}),
		note:      func(string) {},
		fail:      fail,
	}
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

func (d *disk) put(s protocol.Save) {
	d.mu.Lock()
	d.next.add(s.Puts, s.Token)
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// take moves what is queued to a batch.
func (d *disk) take(due *batch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	due.add(d.next.puts, d.next.tokens...)
	d.next = batch{}
}

// run writes what is queued; what came meanwhile goes into one batch. What the disk refuses
// is tried again until it is taken, or the end is asked for.
func (d *disk) run() {
	defer d.shut()
	for ending := false; ; {
		var due batch
		d.take(&due)
		if len(due.tokens) > 0 {
			if !d.persist(&due) {
				return
			}
			continue
		}
		if ending {
			return
		}
		select {
		case <-d.wake:
		case <-d.quit:
			ending = true
		}
	}
}

// persist writes a batch, and what is queued while the disk refuses it, and confirms all of
// it. It gives up at damage, and at a refusal after the end was asked for.
func (d *disk) persist(due *batch) bool {
	ending, wait := false, d.folders.backoff.least
	for refusals := 0; ; refusals++ {
		err := d.try(due.puts, refusals > 0)
		if err == nil {
			d.confirm(due, refusals)
			return true
		}
		if isDamage(err) {
			d.shut()
			d.fail(errors.Wrap(err, "disk"))
			return false
		}
		if ending {
			return false
		}
		if refusals == 0 {
			d.note(fmt.Sprintf("the disk refuses, and nothing is confirmed until it takes writes again: %v", err))
		}
		select {
		case <-time.After(wait):
		case <-d.quit:
			ending = true // after one more try
		}
		wait = d.folders.backoff.next(wait)
		d.take(due)
	}
}

func (d *disk) confirm(due *batch, refusals int) {
	if refusals > 0 {
		d.note(fmt.Sprintf("the disk takes writes again, at try %d", refusals+1))
	}
	for _, token := range due.tokens {
		d.done(protocol.Saved{Token: token})
	}
}

// try writes a batch, to stores opened anew if the last try failed.
func (d *disk) try(puts map[string][]byte, anew bool) error {
	if anew {
		if err := d.reopen(); err != nil {
			return err
		}
	}
	return d.write(puts)
}

// reopen opens the stores anew and checks that nothing confirmed is gone from them.
func (d *disk) reopen() error {
	d.shut()
	s, err := openPair(d.folders, func(string, []byte) {})
	if err != nil {
		return err
	}
	d.stores = s
	found := s.seal()
	if found != d.last && found != d.attempted || s.marked < d.confirmed {
		return errDamaged
	}
	d.last = found
	return nil
}

// write syncs a batch to the state store, and then its number to the mark store.
func (d *disk) write(puts map[string][]byte) error {
	b := new(leveldb.Batch)
	for key, value := range puts {
		b.Put([]byte(key), value)
		d.sums[key] = crc32.ChecksumIEEE(value)
	}
	d.num++
	d.attempted = d.seal()
	s, err := json.Marshal(d.attempted)
	if err != nil {
		return err
	}
	b.Put([]byte(sealKey), s)
	if err := d.state.Write(b, &opt.WriteOptions{Sync: true}); err != nil {
		return err
	}
	number := strconv.AppendUint(nil, d.num, 10)
	if err := d.mark.Put([]byte(markKey), number, &opt.WriteOptions{Sync: true}); err != nil {
		return err
	}
	d.last, d.confirmed = d.attempted, d.num
	return nil
}

func (d *disk) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.closed {
		d.closed = true
		close(d.quit)
	}
}
