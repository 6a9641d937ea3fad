package host

import (
	"encoding/binary"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"github.com/syndtr/goleveldb/leveldb/storage"

	"tidedeck/internal/protocol"
)

// rough simulates a folder on an unreliable machine: unsynced data and names are lost at a power loss, entirely or in
// part, calls fail on demand, and syncs can be blocked.
type rough struct {
	mu    sync.Mutex // guards all below
	files map[storage.FileDesc]*roughFile
	meta  storage.FileDesc
	old   *storage.FileDesc // previous value of meta, which may reappear after a power loss because its change was not synced
	has   bool
	dead  bool
	ops   int
	fails func(op int, what string) error
	gate  chan struct{} // if set, syncs block until it is closed

	removed map[storage.FileDesc]*roughFile // files removed since the last sync of the folder
	largest int                             // largest total size so far
}

type roughFile struct {
	data   []byte
	synced int
	named  bool // the name is durable
}

// lateError is the error of a call that nevertheless took effect.
type lateError struct{ error }

// Unwrap returns the underlying error.
func (e lateError) Unwrap() error { return e.error }

// refused reports whether a call failed without taking effect.
func refused(err error) bool {
	var late lateError
	return err != nil && !errors.As(err, &late)
}

func newRough() *rough {
	return &rough{files: map[storage.FileDesc]*roughFile{}, removed: map[storage.FileDesc]*roughFile{}}
}

// worked returns the largest total size of the folder and the number of calls.
func (r *rough) worked() (largest, ops int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.largest, r.ops
}

// measure updates the largest total size.
func (r *rough) measure() {
	sum := 0
	for _, f := range r.files {
		sum += len(f.data)
	}
	r.largest = max(r.largest, sum)
}

func (r *rough) op(what string) error {
	r.ops++
	if r.dead {
		return syscall.EIO
	}
	if r.fails != nil {
		return r.fails(r.ops, what)
	}
	return nil
}

type nolock struct{}

func (nolock) Unlock() {}

func (r *rough) Lock() (storage.Locker, error) { return nolock{}, nil }
func (r *rough) Log(string)                    {}
func (r *rough) Close() error                  { return nil }

// SetMeta makes all names durable, because the real implementation syncs the folder.
func (r *rough) SetMeta(fd storage.FileDesc) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	err := r.op("meta")
	if refused(err) {
		return err
	}
	switch {
	case err == nil:
		r.old = nil
	case r.old == nil && r.has:
		was := r.meta
		r.old = &was
	}
	r.meta, r.has = fd, true
	r.name()
	return err
}

func (r *rough) name() {
	for _, f := range r.files {
		f.named = true
	}
	clear(r.removed)
}

func (r *rough) GetMeta() (storage.FileDesc, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.op("get meta"); err != nil {
		return storage.FileDesc{}, err
	}
	if !r.has || r.files[r.meta] == nil {
		return storage.FileDesc{}, os.ErrNotExist
	}
	return r.meta, nil
}

func (r *rough) List(t storage.FileType) (l []storage.FileDesc, _ error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.op("list"); err != nil {
		return nil, err
	}
	for fd := range r.files {
		if fd.Type&t != 0 {
			l = append(l, fd)
		}
	}
	return l, nil
}

type roughReader struct {
	*io.SectionReader
	r *rough
}

func (x roughReader) Read(b []byte) (int, error) {
	x.r.mu.Lock()
	err := x.r.op("read")
	x.r.mu.Unlock()
	if err != nil {
		return 0, err
	}
	return x.SectionReader.Read(b)
}

func (x roughReader) ReadAt(b []byte, at int64) (int, error) {
	x.r.mu.Lock()
	err := x.r.op("read")
	x.r.mu.Unlock()
	if err != nil {
		return 0, err
	}
	return x.SectionReader.ReadAt(b, at)
}

func (x roughReader) Close() error { return nil }

type bytesAt []byte

func (b bytesAt) ReadAt(p []byte, at int64) (int, error) {
	if at >= int64(len(b)) {
		return 0, io.EOF
	}
	n := copy(p, b[at:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

func (r *rough) Open(fd storage.FileDesc) (storage.Reader, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.op("open"); err != nil {
		return nil, err
	}
	f := r.files[fd]
	if f == nil {
		return nil, os.ErrNotExist
	}
	b := append([]byte{}, f.data...)
	return roughReader{io.NewSectionReader(bytesAt(b), 0, int64(len(b))), r}, nil
}

type roughWriter struct {
	r  *rough
	fd storage.FileDesc
	f  *roughFile
}

func (r *rough) Create(fd storage.FileDesc) (storage.Writer, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	err := r.op("create")
	if refused(err) {
		return nil, err
	}
	f := &roughFile{}
	r.files[fd] = f
	if err != nil {
		return nil, err
	}
	return &roughWriter{r, fd, f}, nil
}

func (w *roughWriter) Write(b []byte) (int, error) {
	w.r.mu.Lock()
	defer w.r.mu.Unlock()
	err := w.r.op("write")
	if refused(err) {
		n := len(b) / 2 // a full disk stores only a part
		w.f.data = append(w.f.data, b[:n]...)
		return n, err
	}
	w.f.data = append(w.f.data, b...)
	w.r.measure()
	return len(b), err
}

func (w *roughWriter) Sync() error {
	w.r.mu.Lock()
	g := w.r.gate
	w.r.mu.Unlock()
	if g != nil {
		<-g
	}
	w.r.mu.Lock()
	defer w.r.mu.Unlock()
	err := w.r.op("sync")
	if refused(err) {
		return err
	}
	w.f.synced = len(w.f.data)
	if w.fd.Type == storage.TypeManifest {
		w.r.name()
	}
	return err
}

func (w *roughWriter) Close() error { return nil }

func (r *rough) Remove(fd storage.FileDesc) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	err := r.op("remove")
	if refused(err) {
		return err
	}
	if f := r.files[fd]; f != nil && f.named {
		r.removed[fd] = f
	}
	delete(r.files, fd)
	return err
}

func (r *rough) Rename(a, b storage.FileDesc) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	err := r.op("rename")
	if refused(err) {
		return err
	}
	r.files[b] = r.files[a]
	delete(r.files, a)
	return err
}

// loose returns the largest number of unsynced bytes of any file.
func (r *rough) loose() (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.files {
		n = max(n, len(f.data)-f.synced)
	}
	return n
}

// after returns the folder's content after a power loss: of each file's unsynced bytes the first kept ones survive,
// and the rest is missing, zeros or noise.
func (r *rough) after(kept int, how string) *rough {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := newRough()
	found.meta, found.has = r.meta, r.has
	if r.old != nil && kept == 0 {
		found.meta = *r.old
	}
	for fd, file := range r.files {
		if !file.named {
			continue
		}
		end := min(file.synced+kept, len(file.data))
		data := append([]byte{}, file.data[:end]...)
		for i := end; i < len(file.data) && how != "missing"; i++ {
			filler := byte(0)
			if how == "noise" {
				filler = byte(i*31 + 7)
			}
			data = append(data, filler)
		}
		found.files[fd] = &roughFile{data: data, synced: len(data), named: true}
	}
	return found
}

// afterNames returns the folder's content after a power loss in which each name created or removed without a sync of
// the folder is kept or lost separately.
func (r *rough) afterNames(seed uint64) *rough {
	chance := rand.New(rand.NewPCG(seed, 1))
	found := r.after(0, "missing")
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.old != nil && chance.IntN(2) == 0 {
		found.meta = r.meta
	}
	for _, unsynced := range []map[storage.FileDesc]*roughFile{r.files, r.removed} {
		for _, fd := range sortedNames(unsynced) {
			if found.files[fd] == nil && chance.IntN(2) == 0 {
				data := append([]byte{}, unsynced[fd].data[:unsynced[fd].synced]...)
				found.files[fd] = &roughFile{data: data, synced: len(data), named: true}
			}
		}
	}
	return found
}

func sortedNames(files map[storage.FileDesc]*roughFile) []storage.FileDesc {
	return slices.SortedFunc(maps.Keys(files), func(a, b storage.FileDesc) int {
		return strings.Compare(a.String(), b.String())
	})
}

func (r *rough) off() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dead = true
}

// pair holds the two store folders of one node.
type pair struct{ state, mark *rough }

func newPair() pair { return pair{newRough(), newRough()} }

func (p pair) folders() storeFolders {
	v := func(r *rough) storeFolder {
		return storeFolder{open: func() (storage.Storage, error) { return r, nil }, sync: func() error {
			r.mu.Lock()
			defer r.mu.Unlock()
			err := r.op("sync folder")
			if refused(err) {
				return err
			}
			r.name()
			return err
		}, reset: func() error {
			r.mu.Lock()
			defer r.mu.Unlock()
			if err := r.op("remove"); refused(err) {
				return err
			}
			r.files, r.removed, r.has = map[storage.FileDesc]*roughFile{}, map[storage.FileDesc]*roughFile{}, false
			return nil
		}}
	}
	return storeFolders{backoff: backoff{time.Millisecond, 4 * time.Millisecond}, state: v(p.state), mark: v(p.mark), setAside: func() error {
		for _, r := range []*rough{p.state, p.mark} {
			r.files, r.removed, r.has = map[storage.FileDesc]*roughFile{}, map[storage.FileDesc]*roughFile{}, false
		}
		return nil
	}}
}

func (p pair) after(kept int, how string) pair {
	return pair{p.state.after(kept, how), p.mark.after(kept, how)}
}

// use opens a node's disk, saves the batches, and ends in a power loss.
func (p pair) use(t *testing.T, puts ...map[string][]byte) (map[string][]byte, bool) {
	t.Helper()
	opened, values, damaged, err := openStores(p.folders(), func(err error) { t.Error(err) })
	require.NoError(t, err)
	saved := make(chan protocol.Saved, 1)
	opened.done = func(s protocol.Saved) { saved <- s }
	done := make(chan struct{})
	go func() { opened.run(); close(done) }()
	for i, batch := range puts {
		opened.put(protocol.Save{Token: uint64(i), Puts: batch})
		<-saved
	}
	p.state.off()
	p.mark.off()
	opened.close()
	<-done
	return values, damaged
}

func val(n, size int) []byte {
	value := make([]byte, size)
	for i := range value {
		value[i] = byte(i*7 + n)
	}
	return value
}

// noise returns an incompressible value.
func noise(seed uint64, size int) []byte {
	value := make([]byte, size)
	_, _ = rand.NewChaCha8([32]byte(binary.LittleEndian.AppendUint64(make([]byte, 24), seed))).Read(value)
	return value
}

// Power is lost during a save, at every byte of the write: confirmed data is found unchanged, and the disk is not
// reported as damaged.
func TestTornTail(t *testing.T) {
	p := newPair()
	opened, _, _, err := openStores(p.folders(), func(error) {})
	require.NoError(t, err)
	saved := make(chan protocol.Saved, 8)
	opened.done = func(s protocol.Saved) { saved <- s }
	go opened.run()
	confirmed := map[string][]byte{"inc": []byte("7"), "accepted": val(3, 200)}
	opened.put(protocol.Save{Token: 1, Puts: confirmed})
	<-saved
	written := make(chan struct{}, 1)
	p.state.mu.Lock()
	p.state.gate = make(chan struct{})
	p.state.fails = func(_ int, what string) error {
		if what == "write" {
			select {
			case written <- struct{}{}:
			default:
			}
		}
		return nil
	}
	p.state.mu.Unlock()
	next := map[string][]byte{"accepted": val(4, 300), "promised": []byte("9")}
	opened.put(protocol.Save{Token: 2, Puts: next})
	<-written
	for p.state.loose() < 300 {
		<-written
	}
	require.Empty(t, saved, "nothing is confirmed by a stalled disk")
	both := map[string][]byte{"inc": confirmed["inc"], "accepted": next["accepted"], "promised": next["promised"]}
	for kept := 0; kept <= p.state.loose(); kept++ {
		for _, tail := range []string{"missing", "zeros", "noise"} {
			values, damaged := p.after(kept, tail).use(t)
			require.False(t, damaged, "%d bytes kept, the rest %s", kept, tail)
			if len(values) == 3 {
				require.Equal(t, both, values, "the batch is complete or absent")
				continue
			}
			require.Equal(t, confirmed, values, "%d bytes kept, the rest %s", kept, tail)
		}
	}
	p.state.off()
	close(p.state.gate)
}

// Power is lost after each confirmation, with stores large enough to rotate their journals: no confirmed data is
// lost, although the name of a new file does not become durable by itself.
func TestNamesLast(t *testing.T) {
	p := newPair()
	want := map[string][]byte{}
	for i := range 8 {
		k := fmt.Sprintf("k%d", i%5)
		put := map[string][]byte{k: val(i, 700_000)}
		values, damaged := p.use(t, put)
		require.False(t, damaged)
		require.Equal(t, want, values)
		want[k] = put[k]
		p = p.after(0, "missing")
	}
	// The same within one life: the journal is rotated while the store is open.
	var puts []map[string][]byte
	for i := range 9 {
		puts = append(puts, map[string][]byte{fmt.Sprintf("k%d", i%5): val(100+i, 700_000)})
	}
	for n := 4; n < len(puts); n++ {
		folders := newPair()
		_, _ = folders.use(t, puts[:n+1]...)
		values, damaged := folders.after(0, "missing").use(t)
		require.False(t, damaged, "after %d", n)
		require.Equal(t, puts[n][fmt.Sprintf("k%d", n%5)], values[fmt.Sprintf("k%d", n%5)], "after %d", n)
	}
}

// A temporary error at any call while the store is opened is reported and changes nothing: the store is intact once
// the fault is over.
func TestPassingFaults(t *testing.T) {
	intact := newPair()
	want := map[string][]byte{"inc": []byte("7"), "accepted": val(1, 5000)}
	intact.use(t, want, map[string][]byte{"duty": []byte("3")})
	want["duty"] = []byte("3")
	for _, fault := range []error{syscall.EMFILE, syscall.ENOSPC, syscall.EACCES, syscall.EIO} {
		failed := true
		for at := 1; failed; at++ {
			p := intact.after(0, "missing")
			failed = false
			count := 0
			fail := func(int, string) error {
				if count++; count >= at && count < at+3 {
					failed = true
					return fault
				}
				return nil
			}
			p.state.fails, p.mark.fails = fail, fail
			opened, values, damaged, err := openStores(p.folders(), func(error) {})
			require.False(t, damaged, "%v at call %d", fault, at)
			if err == nil {
				require.Equal(t, want, values)
				opened.shut()
			}
			p.state.fails, p.mark.fails = nil, nil
			values, damaged = p.after(0, "missing").use(t)
			require.False(t, damaged, "%v at call %d, afterwards", fault, at)
			require.Equal(t, want, values, "%v at call %d", fault, at)
		}
	}
}

// A failed write, for example on a full disk, is never confirmed; the failure is logged, the node keeps running, and
// its store is intact after a restart.
func TestFailedWrite(t *testing.T) {
	for _, what := range []string{"write", "sync"} {
		for _, on := range []string{"state", "mark"} {
			p := newPair()
			p.use(t, map[string][]byte{"a": []byte("1")})
			p = p.after(0, "missing")
			opened, _, _, err := openStores(p.folders(), func(err error) { t.Error(err) })
			require.NoError(t, err)
			notes := make(chan string, 1)
			opened.note = func(s string) { notes <- s }
			opened.done = func(protocol.Saved) { t.Error("a failed write was confirmed") }
			folder := map[string]*rough{"state": p.state, "mark": p.mark}[on]
			folder.mu.Lock()
			folder.fails = func(_ int, op string) error {
				if op == what {
					return syscall.ENOSPC
				}
				return nil
			}
			folder.mu.Unlock()
			done := make(chan struct{})
			go func() { opened.run(); close(done) }()
			opened.put(protocol.Save{Token: 5, Puts: map[string][]byte{"a": []byte("2")}})
			require.Contains(t, <-notes, syscall.ENOSPC.Error())
			select {
			case <-done:
				t.Fatal("stopped although nothing is damaged")
			case <-time.After(20 * time.Millisecond):
			}
			opened.close()
			<-done
			values, damaged := p.after(1<<20, "missing").use(t)
			require.False(t, damaged, "%s of %s", what, on)
			require.Contains(t, []string{"1", "2"}, string(values["a"]))
		}
	}
}

// Damage at any byte of any file is detected or does not affect the data read.
func TestTrueDamage(t *testing.T) {
	p := newPair()
	want := map[string][]byte{"inc": []byte("7"), "accepted": val(2, 60), "duty": []byte("4")}
	p.use(t, map[string][]byte{"inc": []byte("7"), "accepted": val(1, 60)}, map[string][]byte{"accepted": val(2, 60)}, map[string][]byte{"duty": []byte("4")})
	detected, total := 0, 0
	for fd, file := range p.state.after(0, "missing").files {
		for i := range file.data {
			for _, cut := range []bool{false, true} {
				folders := p.after(0, "missing")
				damagedFile := folders.state.files[fd]
				if cut {
					damagedFile.data = damagedFile.data[:i]
				} else {
					damagedFile.data[i] ^= 0x41
				}
				total++
				values, damaged := folders.use(t)
				if damaged {
					detected++
					require.Empty(t, values, "no data is taken from a damaged store")
					continue
				}
				require.Equal(t, want, values, "%v: byte %d, cut %v", fd, i, cut)
			}
		}
	}
	// Damage in the middle of a file, with intact data before and after it.
	p = newPair()
	want = map[string][]byte{"inc": []byte("7"), "accepted": val(2, 40_000), "duty": val(3, 40_000)}
	p.use(t, map[string][]byte{"accepted": want["accepted"]}, map[string][]byte{"inc": []byte("7")}, map[string][]byte{"duty": want["duty"]})
	for fd, file := range p.state.after(0, "missing").files {
		for i := 0; i < len(file.data); i += 1999 {
			folders := p.after(0, "missing")
			folders.state.files[fd].data[i] ^= 0x41
			total++
			if values, damaged := folders.use(t); damaged {
				detected++
				require.Empty(t, values)
			} else {
				require.Equal(t, want, values, "%v: byte %d", fd, i)
			}
		}
	}
	t.Logf("%d of %d damaged stores were detected, the others read correctly", detected, total)
	require.NotZero(t, detected)
	for fd := range p.state.after(0, "missing").files {
		folders := p.after(0, "missing")
		delete(folders.state.files, fd)
		values, damaged := folders.use(t)
		require.True(t, damaged && len(values) == 0 || fmt.Sprint(values) == fmt.Sprint(want), "without %v", fd)
	}
}
