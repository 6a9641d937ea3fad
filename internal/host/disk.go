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

// disk stores a core's state in one data folder. A separate goroutine writes and syncs in order, so that a stalled
// disk delays only what depends on it.
//
// The folder has two stores. Each batch for the state store contains its number and a digest of the store's whole
// resulting content. Once the batch is synced, its number is written to the mark store, and only then is the batch
// confirmed. This distinguishes a tail lost in a power failure from damage: the content found must match its own
// digest and must not be older than the last confirmed batch.
//
// A failed write is not confirmed. The stores accept no further writes after it, so they are reopened until the disk
// accepts the pending data. The failed batch may or may not be found on the disk; the content found must be either
// the last one found or confirmed, or that of the failed write.
type disk struct {
	*stores
	folders       storeFolders
	confirmed     uint64     // number of the last confirmed batch
	lastSeal      seal       // last content found or confirmed
	attemptedSeal seal       // content of the last attempted write
	mu            sync.Mutex // guards next and closed
	queued        batch
	closed        bool
	wake          chan struct{} // signals that next is not empty
	closing       chan struct{} // closed with closed
	onSaved       func(protocol.Saved)
	log           func(string)
	onDamage      func(error) // called when damage is found
}

func newDisk(folders storeFolders, s *stores, fail func(error)) *disk {
	return &disk{
		stores:    s,
		folders:   folders,
		confirmed: s.num,
		lastSeal:  s.seal(),
		wake:      make(chan struct{}, 1),
		closing:   make(chan struct{}),
		log:       func(string) {},
		onDamage:  fail,
	}
}

// batch holds pending writes: the last value of each key, and the tokens to confirm.
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
	d.queued.add(s.Puts, s.Token)
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// take moves the queued writes into a batch.
func (d *disk) take(pending *batch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	pending.add(d.queued.puts, d.queued.tokens...)
	d.queued = batch{}
}

// run writes queued data; data queued during a write forms the next batch. Failed writes are retried until they
// succeed or close is called.
func (d *disk) run() {
	defer d.closeAll()
	for ending := false; ; {
		var pending batch
		d.take(&pending)
		if len(pending.tokens) > 0 {
			if !d.persist(&pending) {
				return
			}
			continue
		}
		if ending {
			return
		}
		select {
		case <-d.wake:
		case <-d.closing:
			ending = true
		}
	}
}

// persist writes a batch, together with data queued while the disk fails, and confirms it. It gives up on damage, and
// on a failure after close was called.
func (d *disk) persist(pending *batch) bool {
	closing, wait := false, d.folders.backoff.min
	for failures := 0; ; failures++ {
		err := d.attempt(pending.puts, failures > 0)
		if err == nil {
			d.confirm(pending, failures)
			return true
		}
		if isDamage(err) {
			d.closeAll()
			d.onDamage(errors.Wrap(err, "disk"))
			return false
		}
		if closing {
			return false
		}
		if failures == 0 {
			d.log(fmt.Sprintf("disk writes fail; nothing is confirmed until they succeed: %v", err))
		}
		select {
		case <-time.After(wait):
		case <-d.closing:
			closing = true // after one more attempt
		}
		wait = d.folders.backoff.next(wait)
		d.take(pending)
	}
}

func (d *disk) confirm(pending *batch, failures int) {
	if failures > 0 {
		d.log(fmt.Sprintf("disk writes succeed again after %d attempts", failures+1))
	}
	for _, token := range pending.tokens {
		d.onSaved(protocol.Saved{Token: token})
	}
}

// attempt writes a batch, after reopening the stores if the last attempt failed.
func (d *disk) attempt(puts map[string][]byte, reopenFirst bool) error {
	if reopenFirst {
		if err := d.reopen(); err != nil {
			return err
		}
	}
	return d.write(puts)
}

// reopen reopens the stores and verifies that no confirmed data is missing.
func (d *disk) reopen() error {
	d.closeAll()
	s, err := openPair(d.folders, func(string, []byte) {})
	if err != nil {
		return err
	}
	d.stores = s
	found := s.seal()
	if found != d.lastSeal && found != d.attemptedSeal || s.markNum < d.confirmed {
		return errDamaged
	}
	d.lastSeal = found
	return nil
}

// write syncs a batch to the state store and then its number to the mark store.
func (d *disk) write(puts map[string][]byte) error {
	update := new(leveldb.Batch)
	for key, value := range puts {
		update.Put([]byte(key), value)
		d.checksums[key] = crc32.ChecksumIEEE(value)
	}
	d.num++
	d.attemptedSeal = d.seal()
	encoded, err := json.Marshal(d.attemptedSeal)
	if err != nil {
		return err
	}
	update.Put([]byte(sealKey), encoded)
	if err := d.state.Write(update, &opt.WriteOptions{Sync: true}); err != nil {
		return err
	}
	number := strconv.AppendUint(nil, d.num, 10)
	if err := d.mark.Put([]byte(markKey), number, &opt.WriteOptions{Sync: true}); err != nil {
		return err
	}
	d.lastSeal, d.confirmed = d.attemptedSeal, d.num
	return nil
}

func (d *disk) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.closed {
		d.closed = true
		close(d.closing)
	}
}
