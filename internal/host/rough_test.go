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

// rough is a folder on a machine that fails: what is not synced goes with the power, whole
// or in part, names too; calls fail on demand; syncs stall.
type rough struct {
	mu    sync.Mutex // guards all below
	files map[storage.FileDesc]*roughFile
	meta  storage.FileDesc
	old   *storage.FileDesc // what meta may be again once the power went: its change was not synced
	has   bool
	dead  bool
	ops   int
	fails func(op int, what string) error
	gate  chan struct{} // syncs wait for it, if there is one

	removed map[storage.FileDesc]*roughFile // gone from the folder, which has not been synced since
	largest int                             // most bytes that all files ever came to
}

type roughFile struct {
	data   []byte
	synced int
	named  bool // its name is in the folder for good
}

// lateError is the fault of a call that took effect all the same.
type lateError struct{ error }

// Unwrap gives the fault itself.
func (e lateError) Unwrap() error { return e.error }

// refused tells that a call failed before it took effect.
func refused(err error) bool {
	var late lateError
	return err != nil && !errors.As(err, &late)
}

func newRough() *rough {
	return &rough{files: map[storage.FileDesc]*roughFile{}, removed: map[storage.FileDesc]*roughFile{}}
}

// worked tells the largest size of the folder, and how many calls it took.
func (r *rough) worked() (largest, ops int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.largest, r.ops
}

// measure notes how large the folder has become.
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

// SetMeta makes names last, as the real one syncs the folder.
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
		n := len(b) / 2 // a full disk takes a part
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

// loose tells how many bytes the power may take away.
func (r *rough) loose() (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.files {
		n = max(n, len(f.data)-f.synced)
	}
	return n
}

// after gives the folder as it is found after the power went: of unsynced bytes the first
// few came through, and what follows is missing, zeros or noise.
func (r *rough) after(kept int, how string) *rough {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := newRough()
	n.meta, n.has = r.meta, r.has
	if r.old != nil && kept == 0 {
		n.meta = *r.old
	}
	for fd, f := range r.files {
		if !f.named {
			continue
		}
		end := min(f.synced+kept, len(f.data))
		b := append([]byte{}, f.data[:end]...)
		for i := end; i < len(f.data) && how != "missing"; i++ {
			c := byte(0)
			if how == "noise" {
				c = byte(i*31 + 7)
			}
			b = append(b, c)
		}
		n.files[fd] = &roughFile{data: b, synced: len(b), named: true}
	}
	return n
}

// afterNames gives the folder as it is found after the power went and each name that was made
// or removed without a sync of the folder was kept or lost by itself.
func (r *rough) afterNames(seed uint64) *rough {
	chance := rand.New(rand.NewPCG(seed, 1))
	n := r.after(0, "missing")
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.old != nil && chance.IntN(2) == 0 {
		n.meta = r.meta
	}
	for _, unsynced := range []map[storage.FileDesc]*roughFile{r.files, r.removed} {
		for _, fd := range sortedNames(unsynced) {
			if n.files[fd] == nil && chance.IntN(2) == 0 {
				b := append([]byte{}, unsynced[fd].data[:unsynced[fd].synced]...)
				n.files[fd] = &roughFile{data: b, synced: len(b), named: true}
			}
		}
	}
	return n
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

// pair is the two folders of one node.
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

// use opens a node's disk, saves, and leaves it as the power goes.
func (p pair) use(t *testing.T, puts ...map[string][]byte) (map[string][]byte, bool) {
	t.Helper()
	d, m, harm, err := openStores(p.folders(), func(err error) { t.Error(err) })
	require.NoError(t, err)
	saved := make(chan protocol.Saved, 1)
	d.done = func(s protocol.Saved) { saved <- s }
	end := make(chan struct{})
	go func() { d.run(); close(end) }()
	for i, b := range puts {
		d.put(protocol.Save{Token: uint64(i), Puts: b})
		<-saved
	}
	p.state.off()
	p.mark.off()
	d.close()
	<-end
	return m, harm
}

func val(n, size int) []byte {
	b := make([]byte, size)
	for i := range b {
		b[i] = byte(i*7 + n)
	}
	return b
}

// noise is a value that no compression makes smaller.
func noise(seed uint64, size int) []byte {
	b := make([]byte, size)
	_, _ = rand.NewChaCha8([32]byte(binary.LittleEndian.AppendUint64(make([]byte, 24), seed))).Read(b)
	return b
}

// Power goes while a save is on its way, at every byte of it: what was confirmed is there
// to the byte, and the disk is not taken for a damaged one.
func TestTornTail(t *testing.T) {
	p := newPair()
	d, _, _, err := openStores(p.folders(), func(error) {})
	require.NoError(t, err)
	saved := make(chan protocol.Saved, 8)
	d.done = func(s protocol.Saved) { saved <- s }
	go d.run()
	was := map[string][]byte{"inc": []byte("7"), "accepted": val(3, 200)}
	d.put(protocol.Save{Token: 1, Puts: was})
	<-saved
	arrived := make(chan struct{}, 1)
	p.state.mu.Lock()
	p.state.gate = make(chan struct{})
	p.state.fails = func(_ int, what string) error {
		if what == "write" {
			select {
			case arrived <- struct{}{}:
			default:
			}
		}
		return nil
	}
	p.state.mu.Unlock()
	next := map[string][]byte{"accepted": val(4, 300), "promised": []byte("9")}
	d.put(protocol.Save{Token: 2, Puts: next})
	<-arrived
	for p.state.loose() < 300 {
		<-arrived
	}
	require.Empty(t, saved, "a stalled disk confirms nothing")
	all := map[string][]byte{"inc": was["inc"], "accepted": next["accepted"], "promised": next["promised"]}
	for kept := 0; kept <= p.state.loose(); kept++ {
		for _, how := range []string{"missing", "zeros", "noise"} {
			m, harm := p.after(kept, how).use(t)
			require.False(t, harm, "%d bytes kept, the rest %s", kept, how)
			if len(m) == 3 {
				require.Equal(t, all, m, "whole, or not at all")
				continue
			}
			require.Equal(t, was, m, "%d bytes kept, the rest %s", kept, how)
		}
	}
	p.state.off()
	close(p.state.gate)
}

// The power goes after each confirmation, over stores that outgrow their journals: nothing
// confirmed is lost, though a new file's name is not in the folder for good by itself.
func TestNamesLast(t *testing.T) {
	p := newPair()
	want := map[string][]byte{}
	for i := range 8 {
		k := fmt.Sprintf("k%d", i%5)
		put := map[string][]byte{k: val(i, 700_000)}
		m, harm := p.use(t, put)
		require.False(t, harm)
		require.Equal(t, want, m)
		want[k] = put[k]
		p = p.after(0, "missing")
	}
	// In one life, too: the journal is changed while the store is open.
	var puts []map[string][]byte
	for i := range 9 {
		puts = append(puts, map[string][]byte{fmt.Sprintf("k%d", i%5): val(100+i, 700_000)})
	}
	for n := 4; n < len(puts); n++ {
		q := newPair()
		_, _ = q.use(t, puts[:n+1]...)
		m, harm := q.after(0, "missing").use(t)
		require.False(t, harm, "after %d", n)
		require.Equal(t, puts[n][fmt.Sprintf("k%d", n%5)], m[fmt.Sprintf("k%d", n%5)], "after %d", n)
	}
}

// A passing fault of the machine, at any call while the store is opened, is told and changes
// nothing: the disk is as sound as before once the fault is over.
func TestPassingFaults(t *testing.T) {
	sound := newPair()
	want := map[string][]byte{"inc": []byte("7"), "accepted": val(1, 5000)}
	sound.use(t, want, map[string][]byte{"duty": []byte("3")})
	want["duty"] = []byte("3")
	for _, e := range []error{syscall.EMFILE, syscall.ENOSPC, syscall.EACCES, syscall.EIO} {
		hit := true
		for at := 1; hit; at++ {
			p := sound.after(0, "missing")
			hit = false
			count := 0
			fail := func(int, string) error {
				if count++; count >= at && count < at+3 {
					hit = true
					return e
				}
				return nil
			}
			p.state.fails, p.mark.fails = fail, fail
			d, m, harm, err := openStores(p.folders(), func(error) {})
			require.False(t, harm, "%v at call %d", e, at)
			if err == nil {
				require.Equal(t, want, m)
				d.shut()
			}
			p.state.fails, p.mark.fails = nil, nil
			m, harm = p.after(0, "missing").use(t)
			require.False(t, harm, "%v at call %d, afterwards", e, at)
			require.Equal(t, want, m, "%v at call %d", e, at)
		}
	}
}

// A write that fails, a full disk among them, is never confirmed; the node is told, lives on,
// and finds its store sound when it starts anew.
func TestFailedWrite(t *testing.T) {
	for _, what := range []string{"write", "sync"} {
		for _, on := range []string{"state", "mark"} {
			p := newPair()
			p.use(t, map[string][]byte{"a": []byte("1")})
			p = p.after(0, "missing")
			d, _, _, err := openStores(p.folders(), func(err error) { t.Error(err) })
			require.NoError(t, err)
			told := make(chan string, 1)
			d.note = func(s string) { told <- s }
			d.done = func(protocol.Saved) { t.Error("confirmed a write that failed") }
			r := map[string]*rough{"state": p.state, "mark": p.mark}[on]
			r.mu.Lock()
			r.fails = func(_ int, w string) error {
				if w == what {
					return syscall.ENOSPC
				}
				return nil
			}
			r.mu.Unlock()
			end := make(chan struct{})
			go func() { d.run(); close(end) }()
			d.put(protocol.Save{Token: 5, Puts: map[string][]byte{"a": []byte("2")}})
			require.Contains(t, <-told, syscall.ENOSPC.Error())
			select {
			case <-end:
				t.Fatal("ended by itself")
			case <-time.After(20 * time.Millisecond):
			}
			d.close()
			<-end
			m, harm := p.after(1<<20, "missing").use(t)
			require.False(t, harm, "%s of %s", what, on)
			require.Contains(t, []string{"1", "2"}, string(m["a"]))
		}
	}
}

// Damage to what was confirmed, at any byte of any file, is seen, or harms nothing that is read.
func TestTrueDamage(t *testing.T) {
	p := newPair()
	want := map[string][]byte{"inc": []byte("7"), "accepted": val(2, 60), "duty": []byte("4")}
	p.use(t, map[string][]byte{"inc": []byte("7"), "accepted": val(1, 60)}, map[string][]byte{"accepted": val(2, 60)}, map[string][]byte{"duty": []byte("4")})
	seen, n := 0, 0
	for fd, f := range p.state.after(0, "missing").files {
		for i := range f.data {
			for _, cut := range []bool{false, true} {
				q := p.after(0, "missing")
				b := q.state.files[fd]
				if cut {
					b.data = b.data[:i]
				} else {
					b.data[i] ^= 0x41
				}
				n++
				m, harm := q.use(t)
				if harm {
					seen++
					require.Empty(t, m, "a damaged store votes for nothing")
					continue
				}
				require.Equal(t, want, m, "%v: byte %d, cut %v", fd, i, cut)
			}
		}
	}
	// A block in the middle: what came before it and after it is sound.
	p = newPair()
	want = map[string][]byte{"inc": []byte("7"), "accepted": val(2, 40_000), "duty": val(3, 40_000)}
	p.use(t, map[string][]byte{"accepted": want["accepted"]}, map[string][]byte{"inc": []byte("7")}, map[string][]byte{"duty": want["duty"]})
	for fd, f := range p.state.after(0, "missing").files {
		for i := 0; i < len(f.data); i += 1999 {
			q := p.after(0, "missing")
			q.state.files[fd].data[i] ^= 0x41
			n++
			if m, harm := q.use(t); harm {
				seen++
				require.Empty(t, m)
			} else {
				require.Equal(t, want, m, "%v: byte %d", fd, i)
			}
		}
	}
	t.Logf("%d of %d damages were seen, the others changed nothing that is read", seen, n)
	require.NotZero(t, seen)
	for fd := range p.state.after(0, "missing").files {
		q := p.after(0, "missing")
		delete(q.state.files, fd)
		m, harm := q.use(t)
		require.True(t, harm && len(m) == 0 || fmt.Sprint(m) == fmt.Sprint(want), "without %v", fd)
	}
}
