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

// faultyFolder simulates a folder on an unreliable machine: unsynced data and names are lost at a power loss, entirely or in
// part, calls fail on demand, and syncs can be blocked.
type faultyFolder struct {
	mu           sync.Mutex // guards all below
	files        map[storage.FileDesc]*faultyFile
	meta         storage.FileDesc
	previousMeta *storage.FileDesc // previous value of meta, which may reappear after a power loss because its change was not synced
	hasMeta      bool
	poweredOff   bool
	calls        int
	injectError  func(op int, what string) error
	syncGate     chan struct{} // if set, syncs block until it is closed

	removed map[storage.FileDesc]*faultyFile // files removed since the last sync of the folder
	largest int                              // largest total size so far
}

type faultyFile struct {
	data       []byte
	synced     int
	nameSynced bool // the name is durable
}

// effectiveError is the error of a call that nevertheless took effect.
type effectiveError struct{ error }

// Unwrap returns the underlying error.
func (e effectiveError) Unwrap() error { return e.error }

// hadNoEffect reports whether a call failed without taking effect.
func hadNoEffect(err error) bool {
	var late effectiveError
	return err != nil && !errors.As(err, &late)
}

func newFaultyFolder() *faultyFolder {
	return &faultyFolder{files: map[storage.FileDesc]*faultyFile{}, removed: map[storage.FileDesc]*faultyFile{}}
}

// usage returns the largest total size of the folder and the number of calls.
func (r *faultyFolder) usage() (largest, ops int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.largest, r.calls
}

// measure updates the largest total size.
func (r *faultyFolder) measure() {
	sum := 0
	for _, f := range r.files {
		sum += len(f.data)
	}
	r.largest = max(r.largest, sum)
}

func (r *faultyFolder) call(what string) error {
	r.calls++
	if r.poweredOff {
		return syscall.EIO
	}
	if r.injectError != nil {
		return r.injectError(r.calls, what)
	}
	return nil
}

type noLock struct{}

func (noLock) Unlock() {}

func (r *faultyFolder) Lock() (storage.Locker, error) { return noLock{}, nil }
func (r *faultyFolder) Log(string)                    {}
func (r *faultyFolder) Close() error                  { return nil }

// SetMeta makes all names durable, because the real implementation syncs the folder.
func (r *faultyFolder) SetMeta(fd storage.FileDesc) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	err := r.call("meta")
	if hadNoEffect(err) {
		return err
	}
	switch {
	case err == nil:
		r.previousMeta = nil
	case r.previousMeta == nil && r.hasMeta:
		was := r.meta
		r.previousMeta = &was
	}
	r.meta, r.hasMeta = fd, true
	r.syncNames()
	return err
}

func (r *faultyFolder) syncNames() {
	for _, f := range r.files {
		f.nameSynced = true
	}
	clear(r.removed)
}

func (r *faultyFolder) GetMeta() (storage.FileDesc, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.call("get meta"); err != nil {
		return storage.FileDesc{}, err
	}
	if !r.hasMeta || r.files[r.meta] == nil {
		return storage.FileDesc{}, os.ErrNotExist
	}
	return r.meta, nil
}

func (r *faultyFolder) List(t storage.FileType) (l []storage.FileDesc, _ error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.call("list"); err != nil {
		return nil, err
	}
	for fd := range r.files {
		if fd.Type&t != 0 {
			l = append(l, fd)
		}
	}
	return l, nil
}

type faultyReader struct {
	*io.SectionReader
	folder *faultyFolder
}

func (x faultyReader) Read(b []byte) (int, error) {
	x.folder.mu.Lock()
	err := x.folder.call("read")
	x.folder.mu.Unlock()
	if err != nil {
		return 0, err
	}
	return x.SectionReader.Read(b)
}

func (x faultyReader) ReadAt(b []byte, at int64) (int, error) {
	x.folder.mu.Lock()
	err := x.folder.call("read")
	x.folder.mu.Unlock()
	if err != nil {
		return 0, err
	}
	return x.SectionReader.ReadAt(b, at)
}

func (x faultyReader) Close() error { return nil }

type byteReaderAt []byte

func (b byteReaderAt) ReadAt(p []byte, at int64) (int, error) {
	if at >= int64(len(b)) {
		return 0, io.EOF
	}
	n := copy(p, b[at:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

func (r *faultyFolder) Open(fd storage.FileDesc) (storage.Reader, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.call("open"); err != nil {
		return nil, err
	}
	f := r.files[fd]
	if f == nil {
		return nil, os.ErrNotExist
	}
	b := append([]byte{}, f.data...)
	return faultyReader{io.NewSectionReader(byteReaderAt(b), 0, int64(len(b))), r}, nil
}

type faultyWriter struct {
	folder *faultyFolder
	fd     storage.FileDesc
	file   *faultyFile
}

func (r *faultyFolder) Create(fd storage.FileDesc) (storage.Writer, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	err := r.call("create")
	if hadNoEffect(err) {
		return nil, err
	}
	f := &faultyFile{}
	r.files[fd] = f
	if err != nil {
		return nil, err
	}
	return &faultyWriter{r, fd, f}, nil
}

func (w *faultyWriter) Write(b []byte) (int, error) {
	w.folder.mu.Lock()
	defer w.folder.mu.Unlock()
	err := w.folder.call("write")
	if hadNoEffect(err) {
		n := len(b) / 2 // a full disk stores only a part
		w.file.data = append(w.file.data, b[:n]...)
		return n, err
	}
	w.file.data = append(w.file.data, b...)
	w.folder.measure()
	return len(b), err
}

func (w *faultyWriter) Sync() error {
	w.folder.mu.Lock()
	g := w.folder.syncGate
	w.folder.mu.Unlock()
	if g != nil {
		<-g
	}
	w.folder.mu.Lock()
	defer w.folder.mu.Unlock()
	err := w.folder.call("sync")
	if hadNoEffect(err) {
		return err
	}
	w.file.synced = len(w.file.data)
	if w.fd.Type == storage.TypeManifest {
		w.folder.syncNames()
	}
	return err
}

func (w *faultyWriter) Close() error { return nil }

func (r *faultyFolder) Remove(fd storage.FileDesc) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	err := r.call("remove")
	if hadNoEffect(err) {
		return err
	}
	if f := r.files[fd]; f != nil && f.nameSynced {
		r.removed[fd] = f
	}
	delete(r.files, fd)
	return err
}

func (r *faultyFolder) Rename(a, b storage.FileDesc) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	err := r.call("rename")
	if hadNoEffect(err) {
		return err
	}
	r.files[b] = r.files[a]
	delete(r.files, a)
	return err
}

// unsyncedBytes returns the largest number of unsynced bytes of any file.
func (r *faultyFolder) unsyncedBytes() (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.files {
		n = max(n, len(f.data)-f.synced)
	}
	return n
}

// afterPowerLoss returns the folder's content after a power loss: of each file's unsynced bytes the first kept ones survive,
// and the rest is missing, zeros or noise.
func (r *faultyFolder) afterPowerLoss(kept int, how string) *faultyFolder {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := newFaultyFolder()
	found.meta, found.hasMeta = r.meta, r.hasMeta
	if r.previousMeta != nil && kept == 0 {
		found.meta = *r.previousMeta
	}
	for fd, file := range r.files {
		if !file.nameSynced {
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
		found.files[fd] = &faultyFile{data: data, synced: len(data), nameSynced: true}
	}
	return found
}

// afterPowerLossByName returns the folder's content after a power loss in which each name created or removed without a sync of
// the folder is kept or lost separately.
func (r *faultyFolder) afterPowerLossByName(seed uint64) *faultyFolder {
	chance := rand.New(rand.NewPCG(seed, 1))
	found := r.afterPowerLoss(0, "missing")
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.previousMeta != nil && chance.IntN(2) == 0 {
		found.meta = r.meta
	}
	for _, unsynced := range []map[storage.FileDesc]*faultyFile{r.files, r.removed} {
		for _, fd := range sortedFiles(unsynced) {
			if found.files[fd] == nil && chance.IntN(2) == 0 {
				data := append([]byte{}, unsynced[fd].data[:unsynced[fd].synced]...)
				found.files[fd] = &faultyFile{data: data, synced: len(data), nameSynced: true}
			}
		}
	}
	return found
}

func sortedFiles(files map[storage.FileDesc]*faultyFile) []storage.FileDesc {
	return slices.SortedFunc(maps.Keys(files), func(a, b storage.FileDesc) int {
		return strings.Compare(a.String(), b.String())
	})
}

func (r *faultyFolder) powerOff() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.poweredOff = true
}

// storePair holds the two store folders of one node.
type storePair struct{ state, mark *faultyFolder }

func newStorePair() storePair { return storePair{newFaultyFolder(), newFaultyFolder()} }

func (p storePair) folders() storeFolders {
	v := func(r *faultyFolder) storeFolder {
		return storeFolder{open: func() (storage.Storage, error) { return r, nil }, sync: func() error {
			r.mu.Lock()
			defer r.mu.Unlock()
			err := r.call("sync folder")
			if hadNoEffect(err) {
				return err
			}
			r.syncNames()
			return err
		}, reset: func() error {
			r.mu.Lock()
			defer r.mu.Unlock()
			if err := r.call("remove"); hadNoEffect(err) {
				return err
			}
			r.files, r.removed, r.hasMeta = map[storage.FileDesc]*faultyFile{}, map[storage.FileDesc]*faultyFile{}, false
			return nil
		}}
	}
	return storeFolders{backoff: backoff{time.Millisecond, 4 * time.Millisecond}, state: v(p.state), mark: v(p.mark), setAside: func() error {
		for _, r := range []*faultyFolder{p.state, p.mark} {
			r.files, r.removed, r.hasMeta = map[storage.FileDesc]*faultyFile{}, map[storage.FileDesc]*faultyFile{}, false
		}
		return nil
	}}
}

func (p storePair) afterPowerLoss(kept int, how string) storePair {
	return storePair{p.state.afterPowerLoss(kept, how), p.mark.afterPowerLoss(kept, how)}
}

// saveAndPowerOff opens a node's disk, saves the batches, and ends in a power loss.
func (p storePair) saveAndPowerOff(t *testing.T, puts ...map[string][]byte) (map[string][]byte, bool) {
	t.Helper()
	opened, values, damaged, err := openStores(p.folders(), func(err error) { t.Error(err) })
	require.NoError(t, err)
	saved := make(chan protocol.Saved, 1)
	opened.onSaved = func(s protocol.Saved) { saved <- s }
	done := make(chan struct{})
	go func() { opened.run(); close(done) }()
	for i, batch := range puts {
		opened.put(protocol.Save{Token: uint64(i), Puts: batch})
		<-saved
	}
	p.state.powerOff()
	p.mark.powerOff()
	opened.close()
	<-done
	return values, damaged
}

func testValue(n, size int) []byte {
	value := make([]byte, size)
	for i := range value {
		value[i] = byte(i*7 + n)
	}
	return value
}

// randomValue returns an incompressible value.
func randomValue(seed uint64, size int) []byte {
	value := make([]byte, size)
	_, _ = rand.NewChaCha8([32]byte(binary.LittleEndian.AppendUint64(make([]byte, 24), seed))).Read(value)
	return value
}

// Power is lost during a save, at every byte of the write: confirmed data is found unchanged, and the disk is not
// reported as damaged.
func TestTornTail(t *testing.T) {
	p := newStorePair()
	opened, _, _, err := openStores(p.folders(), func(error) {})
	require.NoError(t, err)
	saved := make(chan protocol.Saved, 8)
	opened.onSaved = func(s protocol.Saved) { saved <- s }
	go opened.run()
	confirmed := map[string][]byte{"inc": []byte("7"), "accepted": testValue(3, 200)}
	opened.put(protocol.Save{Token: 1, Puts: confirmed})
	<-saved
	written := make(chan struct{}, 1)
	p.state.mu.Lock()
	p.state.syncGate = make(chan struct{})
	p.state.injectError = func(_ int, what string) error {
		if what == "write" {
			select {
			case written <- struct{}{}:
			default:
			}
		}
		return nil
	}
	p.state.mu.Unlock()
	next := map[string][]byte{"accepted": testValue(4, 300), "promised": []byte("9")}
	opened.put(protocol.Save{Token: 2, Puts: next})
	<-written
	for p.state.unsyncedBytes() < 300 {
		<-written
	}
	require.Empty(t, saved, "nothing is confirmed by a stalled disk")
	both := map[string][]byte{"inc": confirmed["inc"], "accepted": next["accepted"], "promised": next["promised"]}
	for kept := 0; kept <= p.state.unsyncedBytes(); kept++ {
		for _, tail := range []string{"missing", "zeros", "noise"} {
			values, damaged := p.afterPowerLoss(kept, tail).saveAndPowerOff(t)
			require.False(t, damaged, "%d bytes kept, the rest %s", kept, tail)
			if len(values) == 3 {
				require.Equal(t, both, values, "the batch is complete or absent")
				continue
			}
			require.Equal(t, confirmed, values, "%d bytes kept, the rest %s", kept, tail)
		}
	}
	p.state.powerOff()
	close(p.state.syncGate)
}

// Power is lost after each confirmation, with stores large enough to rotate their journals: no confirmed data is
// lost, although the name of a new file does not become durable by itself.
func TestNamesAreDurable(t *testing.T) {
	p := newStorePair()
	want := map[string][]byte{}
	for i := range 8 {
		k := fmt.Sprintf("k%d", i%5)
		put := map[string][]byte{k: testValue(i, 700_000)}
		values, damaged := p.saveAndPowerOff(t, put)
		require.False(t, damaged)
		require.Equal(t, want, values)
		want[k] = put[k]
		p = p.afterPowerLoss(0, "missing")
	}
	// The same within one life: the journal is rotated while the store is open.
	var puts []map[string][]byte
	for i := range 9 {
		puts = append(puts, map[string][]byte{fmt.Sprintf("k%d", i%5): testValue(100+i, 700_000)})
	}
	for n := 4; n < len(puts); n++ {
		folders := newStorePair()
		_, _ = folders.saveAndPowerOff(t, puts[:n+1]...)
		values, damaged := folders.afterPowerLoss(0, "missing").saveAndPowerOff(t)
		require.False(t, damaged, "after %d", n)
		require.Equal(t, puts[n][fmt.Sprintf("k%d", n%5)], values[fmt.Sprintf("k%d", n%5)], "after %d", n)
	}
}

// A temporary error at any call while the store is opened is reported and changes nothing: the store is intact once
// the fault is over.
func TestTemporaryFaults(t *testing.T) {
	intact := newStorePair()
	want := map[string][]byte{"inc": []byte("7"), "accepted": testValue(1, 5000)}
	intact.saveAndPowerOff(t, want, map[string][]byte{"duty": []byte("3")})
	want["duty"] = []byte("3")
	for _, fault := range []error{syscall.EMFILE, syscall.ENOSPC, syscall.EACCES, syscall.EIO} {
		failed := true
		for at := 1; failed; at++ {
			p := intact.afterPowerLoss(0, "missing")
			failed = false
			count := 0
			fail := func(int, string) error {
				if count++; count >= at && count < at+3 {
					failed = true
					return fault
				}
				return nil
			}
			p.state.injectError, p.mark.injectError = fail, fail
			opened, values, damaged, err := openStores(p.folders(), func(error) {})
			require.False(t, damaged, "%v at call %d", fault, at)
			if err == nil {
				require.Equal(t, want, values)
				opened.closeAll()
			}
			p.state.injectError, p.mark.injectError = nil, nil
			values, damaged = p.afterPowerLoss(0, "missing").saveAndPowerOff(t)
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
			p := newStorePair()
			p.saveAndPowerOff(t, map[string][]byte{"a": []byte("1")})
			p = p.afterPowerLoss(0, "missing")
			opened, _, _, err := openStores(p.folders(), func(err error) { t.Error(err) })
			require.NoError(t, err)
			notes := make(chan string, 1)
			opened.log = func(s string) { notes <- s }
			opened.onSaved = func(protocol.Saved) { t.Error("a failed write was confirmed") }
			folder := map[string]*faultyFolder{"state": p.state, "mark": p.mark}[on]
			folder.mu.Lock()
			folder.injectError = func(_ int, op string) error {
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
			values, damaged := p.afterPowerLoss(1<<20, "missing").saveAndPowerOff(t)
			require.False(t, damaged, "%s of %s", what, on)
			require.Contains(t, []string{"1", "2"}, string(values["a"]))
		}
	}
}

// Damage at any byte of any file is detected or does not affect the data read.
func TestDamageIsDetected(t *testing.T) {
	p := newStorePair()
	want := map[string][]byte{"inc": []byte("7"), "accepted": testValue(2, 60), "duty": []byte("4")}
	p.saveAndPowerOff(t, map[string][]byte{"inc": []byte("7"), "accepted": testValue(1, 60)}, map[string][]byte{"accepted": testValue(2, 60)}, map[string][]byte{"duty": []byte("4")})
	detected, total := 0, 0
	for fd, file := range p.state.afterPowerLoss(0, "missing").files {
		for i := range file.data {
			for _, cut := range []bool{false, true} {
				folders := p.afterPowerLoss(0, "missing")
				damagedFile := folders.state.files[fd]
				if cut {
					damagedFile.data = damagedFile.data[:i]
				} else {
					damagedFile.data[i] ^= 0x41
				}
				total++
				values, damaged := folders.saveAndPowerOff(t)
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
	p = newStorePair()
	want = map[string][]byte{"inc": []byte("7"), "accepted": testValue(2, 40_000), "duty": testValue(3, 40_000)}
	p.saveAndPowerOff(t, map[string][]byte{"accepted": want["accepted"]}, map[string][]byte{"inc": []byte("7")}, map[string][]byte{"duty": want["duty"]})
	for fd, file := range p.state.afterPowerLoss(0, "missing").files {
		for i := 0; i < len(file.data); i += 1999 {
			folders := p.afterPowerLoss(0, "missing")
			folders.state.files[fd].data[i] ^= 0x41
			total++
			if values, damaged := folders.saveAndPowerOff(t); damaged {
				detected++
				require.Empty(t, values)
			} else {
				require.Equal(t, want, values, "%v: byte %d", fd, i)
			}
		}
	}
	t.Logf("%d of %d damaged stores were detected, the others read correctly", detected, total)
	require.NotZero(t, detected)
	for fd := range p.state.afterPowerLoss(0, "missing").files {
		folders := p.afterPowerLoss(0, "missing")
		delete(folders.state.files, fd)
		values, damaged := folders.saveAndPowerOff(t)
		require.True(t, damaged && len(values) == 0 || fmt.Sprint(values) == fmt.Sprint(want), "without %v", fd)
	}
}
