package host

import (
	"context"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/syndtr/goleveldb/leveldb/storage"
)

const (
	stateName     = "state"
	markName      = "mark"
	damagedSuffix = ".damaged-"
	// maxDamagedPairs is the number of damaged store pairs kept on the disk for inspection.
	maxDamagedPairs = 2
)

// folderSyscalls are the system calls that change names in the data folder and make the changes durable.
type folderSyscalls struct {
	rename func(from, to string) error
	sync   func(path string) error
}

var osFolderSyscalls = folderSyscalls{rename: os.Rename, sync: syncFolder}

func syncFolder(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// dataFolder is the folder that holds a core's two stores.
type dataFolder struct {
	path  string
	calls folderSyscalls
}

// openDisk opens the stores in a folder. Damaged stores are moved aside as a whole and empty ones created: the node
// then starts with a new incarnation and must be admitted again.
func openDisk(path string, fail func(error)) (*disk, map[string][]byte, bool, error) {
	return dataFolder{path, osFolderSyscalls}.open(fail)
}

func (f dataFolder) open(fail func(error)) (*disk, map[string][]byte, bool, error) {
	if err := os.MkdirAll(f.path, 0o755); err != nil {
		return nil, nil, false, errors.Wrap(err, "data folder")
	}
	if err := f.calls.sync(filepath.Dir(f.path)); err != nil {
		return nil, nil, false, errors.Wrap(err, "data folder")
	}
	return openStores(storeFolders{
		state:    f.store(stateName),
		mark:     f.store(markName),
		setAside: f.setAside,
		backoff:  diskBackoff,
	}, fail)
}

// store returns the operations for opening one of the stores.
func (f dataFolder) store(name string) storeFolder {
	path := filepath.Join(f.path, name)
	return storeFolder{
		open: func() (storage.Storage, error) {
			s, err := storage.OpenFile(path, false)
			if err != nil {
				return nil, err
			}
			if err := f.calls.sync(f.path); err != nil {
				_ = s.Close() // releases its lock
				return nil, err
			}
			return s, nil
		},
		sync:  func() error { return f.calls.sync(path) },
		reset: func() error { return f.removeManifests(path) },
	}
}

func (f dataFolder) removeManifests(path string) error {
	for _, pattern := range []string{"CURRENT*", "MANIFEST-*"} {
		list, err := filepath.Glob(filepath.Join(path, pattern))
		if err != nil {
			return err
		}
		for _, file := range list {
			if err := os.Remove(file); err != nil {
				return err
			}
		}
	}
	return f.calls.sync(path)
}

// setAside renames both stores, and removes the oldest of those set aside earlier to keep them from filling the disk.
//
// The mark store is renamed last, after the new name of the state store is durable: a power loss may keep or undo
// each rename separately, and a state store that has lost confirmed data would look sound without a mark store beside
// it.
func (f dataFolder) setAside() error {
	numbers, err := f.damagedNumbers()
	if err != nil {
		return err
	}
	next := 1
	if len(numbers) > 0 {
		next = numbers[len(numbers)-1] + 1
	}
	for _, name := range []string{stateName, markName} {
		from := filepath.Join(f.path, name)
		if err := f.calls.rename(from, from+damagedSuffix+strconv.Itoa(next)); err != nil && !os.IsNotExist(err) {
			return err
		}
		if err := f.calls.sync(f.path); err != nil {
			return err
		}
	}
	for len(numbers) >= maxDamagedPairs {
		f.removeDamaged(numbers[0])
		numbers = numbers[1:]
	}
	return nil
}

// damagedNumbers returns the numbers of the store pairs set aside earlier, in ascending order.
func (f dataFolder) damagedNumbers() ([]int, error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, err
	}
	seen := map[int]bool{}
	var numbers []int
	for _, e := range entries {
		_, suffix, found := strings.Cut(e.Name(), damagedSuffix)
		n, err := strconv.Atoi(suffix)
		if !found || err != nil || n < 1 || seen[n] {
			continue
		}
		seen[n] = true
		numbers = append(numbers, n)
	}
	sort.Ints(numbers)
	return numbers, nil
}

// removeDamaged removes a pair of stores set aside earlier. Errors are ignored, because nothing depends on the
// removal.
func (f dataFolder) removeDamaged(number int) {
	for _, name := range []string{stateName, markName} {
		_ = os.RemoveAll(filepath.Join(f.path, name+damagedSuffix+strconv.Itoa(number)))
	}
}

// backoff is the minimum and maximum delay between retries.
type backoff struct{ min, max time.Duration }

func (b backoff) next(wait time.Duration) time.Duration {
	return max(b.min, min(2*wait, b.max))
}

// diskBackoff is the delay between retries of failing disk operations.
var diskBackoff = backoff{50 * time.Millisecond, time.Second}

// awaitDisk opens a disk and retries while it is full or fails. note is called with the first error.
func awaitDisk(ctx context.Context, delays backoff, open func() (*disk, map[string][]byte, bool, error), note func(error)) (*disk, map[string][]byte, bool, error) {
	damaged := false
	for wait := delays.min; ; wait = delays.next(wait) {
		opened, values, foundDamage, err := open()
		damaged = damaged || foundDamage
		if err == nil {
			return opened, values, damaged, nil
		}
		if note != nil {
			note(err)
			note = nil
		}
		select {
		case <-ctx.Done():
			return nil, nil, damaged, err
		case <-time.After(wait):
		}
	}
}
