package host

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/syndtr/goleveldb/leveldb/storage"

	"tidedeck/internal/protocol"
)

// growingBatches returns batches large enough to rotate the journals, and the expected content after each of them.
func growingBatches(n, size int) (puts, states []map[string][]byte) {
	states = append(states, map[string][]byte{})
	for i := range n {
		batch := map[string][]byte{fmt.Sprintf("k%d", i%3): testValue(i, size+i), "last": []byte(fmt.Sprint(i))}
		puts = append(puts, batch)
		all := map[string][]byte{}
		for _, m := range []map[string][]byte{states[i], batch} {
			for k, v := range m {
				all[k] = v
			}
		}
		states = append(states, all)
	}
	return puts, states
}

func equalValues(a, b map[string][]byte) bool {
	if len(a) != len(b) {
		return false
	}
	for k, v := range a {
		if other, ok := b[k]; !ok || !bytes.Equal(v, other) {
			return false
		}
	}
	return true
}

// injectErrors installs an error injection function for the calls to both folders.
func (p storePair) injectErrors(inject func(op int, what string) error) {
	for _, folder := range []*faultyFolder{p.state, p.mark} {
		folder.mu.Lock()
		folder.injectError = inject
		folder.mu.Unlock()
	}
}

// runResult is the result of one run on a failing disk.
type runResult struct {
	calls     int
	confirmed int
	damage    error
}

// run opens a disk and saves the batches one after the other while calls fail, until all are confirmed, the disk
// gives up or power is lost.
func (p storePair) run(t *testing.T, puts []map[string][]byte, fails func(call int) error) (result runResult) {
	t.Helper()
	var calls, confirmed atomic.Int64
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	p.injectErrors(func(int, string) error {
		err := fails(int(calls.Add(1)))
		if err == syscall.ENODEV {
			stop()
		}
		return err
	})
	damage := make(chan error, 1)
	opened, _, damaged, err := awaitDisk(ctx, backoff{time.Millisecond, 4 * time.Millisecond}, func() (*disk, map[string][]byte, bool, error) {
		return openStores(p.folders(), func(err error) { damage <- err })
	}, func(error) {})
	require.False(t, damaged, "an undamaged store was set aside: %v", err)
	if err == nil {
		saved := make(chan protocol.Saved, len(puts))
		opened.onSaved = func(s protocol.Saved) { confirmed.Add(1); saved <- s }
		done := make(chan struct{})
		go func() { opened.run(); close(done) }()
	all:
		for i, batch := range puts {
			opened.put(protocol.Save{Token: uint64(i), Puts: batch})
			select {
			case s := <-saved:
				require.Equal(t, uint64(i), s.Token)
			case <-ctx.Done():
				break all
			case <-done:
				break all
			}
		}
		opened.close()
		<-done
	}
	select {
	case result.damage = <-damage:
	default:
	}
	result.calls, result.confirmed = int(calls.Load()), int(confirmed.Load())
	return result
}

// Each call fails in turn, alone or together with the following ones, with or without taking effect: everything is
// confirmed in the end. If power is lost right afterwards, at least the confirmed data is found, without damage.
func TestEachCallFails(t *testing.T) {
	puts, states := growingBatches(8, 60_000)
	for _, count := range []int{1, 4, 30} {
		for _, afterEffect := range []bool{false, true} {
			for _, powerLoss := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d/%v/%v", count, afterEffect, powerLoss), func(t *testing.T) {
					t.Parallel()
					runs := 0
					for at := 1; ; at++ {
						p := newStorePair()
						result := p.run(t, puts, func(call int) error {
							switch {
							case call < at:
								return nil
							case call >= at+count && powerLoss:
								return syscall.ENODEV
							case call >= at+count:
								return nil
							case afterEffect:
								return effectiveError{syscall.ENOSPC}
							}
							return syscall.ENOSPC
						})
						require.NoError(t, result.damage, "from call %d", at)
						if !powerLoss {
							require.Equal(t, len(puts), result.confirmed, "from call %d", at)
						}
						for kept, tail := range map[int]string{0: "missing", 100: "noise", 1 << 20: "missing"} {
							values, damaged := p.afterPowerLoss(kept, tail).saveAndPowerOff(t)
							require.False(t, damaged, "from call %d, %d kept", at, kept)
							require.True(t, equalValues(states[result.confirmed], values) || result.confirmed < len(puts) && equalValues(states[result.confirmed+1], values),
								"from call %d, %d kept: %d were confirmed, found is %s", at, kept, result.confirmed, values["last"])
						}
						if runs++; result.calls < at {
							break
						}
					}
					t.Logf("%d runs", runs)
				})
			}
		}
	}
}

// Two calls fail, the second during the recovery from the first, optionally followed by a power loss.
func TestTwoCallsFail(t *testing.T) {
	puts, states := growingBatches(3, 300)
	for _, afterEffect := range []bool{false, true} {
		for _, powerLoss := range []bool{false, true} {
			t.Run(fmt.Sprintf("%v/%v", afterEffect, powerLoss), func(t *testing.T) {
				t.Parallel()
				runs, last := 0, 1
				for at := 1; at <= last; at++ {
					for gap := 1; gap <= 32; gap++ {
						p := newStorePair()
						result := p.run(t, puts, func(call int) error {
							switch {
							case powerLoss && call > at+gap:
								return syscall.ENODEV
							case call != at && call != at+gap:
								return nil
							case afterEffect:
								return effectiveError{syscall.ENOSPC}
							}
							return syscall.ENOSPC
						})
						require.NoError(t, result.damage, "calls %d and %d", at, at+gap)
						if !powerLoss {
							require.Equal(t, len(puts), result.confirmed, "calls %d and %d", at, at+gap)
						}
						for _, kept := range []int{0, 1 << 20} {
							values, damaged := p.afterPowerLoss(kept, "missing").saveAndPowerOff(t)
							require.False(t, damaged, "calls %d and %d, %d kept", at, at+gap, kept)
							require.True(t, equalValues(states[result.confirmed], values) || result.confirmed < len(puts) && equalValues(states[result.confirmed+1], values),
								"calls %d and %d, %d kept: %d were confirmed, found is %s", at, at+gap, kept, result.confirmed, values["last"])
						}
						runs++
						last = max(last, min(result.calls, 60))
					}
				}
				t.Logf("%d runs", runs)
			})
		}
	}
}

// A write that reached only the state store is found on reopening, and then the next write fails as well.
func TestWriteFoundThenNextFails(t *testing.T) {
	for at := 1; at <= 10; at++ {
		p := newStorePair()
		opened, _, _, err := openStores(p.folders(), func(err error) { t.Error(at, err) })
		require.NoError(t, err)
		saved := make(chan protocol.Saved, 1)
		opened.onSaved = func(s protocol.Saved) { saved <- s }
		var marks, writes atomic.Int64
		p.mark.injectError = func(_ int, op string) error {
			if op == "write" && marks.Add(1) == 1 {
				return syscall.ENOSPC
			}
			return nil
		}
		p.state.injectError = func(_ int, op string) error {
			if op == "write" && marks.Load() > 0 && writes.Add(1) == int64(at) {
				return syscall.ENOSPC
			}
			return nil
		}
		done := make(chan struct{})
		go func() { opened.run(); close(done) }()
		opened.put(protocol.Save{Token: 1, Puts: map[string][]byte{"a": []byte("1")}})
		select {
		case <-saved:
		case <-done:
			t.Fatal("stopped although nothing is damaged")
		}
		opened.close()
		<-done
		values, damaged := p.afterPowerLoss(0, "missing").saveAndPowerOff(t)
		require.False(t, damaged)
		require.Equal(t, "1", string(values["a"]))
	}
}

// A disk fails all writes for a while: nothing is confirmed meanwhile, everything is confirmed in order afterwards,
// and the node keeps running.
func TestTemporaryWriteFailures(t *testing.T) {
	for _, on := range []string{"state", "mark", "both"} {
		for _, what := range []string{"write", "sync", "create", "every"} {
			t.Run(on+"/"+what, func(t *testing.T) {
				t.Parallel()
				p := newStorePair()
				opened, _, _, err := openStores(p.folders(), func(err error) { t.Error(err) })
				require.NoError(t, err)
				var notes atomic.Int64
				opened.log = func(string) { notes.Add(1) }
				saved := make(chan protocol.Saved, 2000)
				opened.onSaved = func(s protocol.Saved) { saved <- s }
				done := make(chan struct{})
				go func() { opened.run(); close(done) }()
				opened.put(protocol.Save{Token: 0, Puts: map[string][]byte{"a": []byte("0")}})
				<-saved
				var full atomic.Bool
				full.Store(true)
				refuse := func(_ int, op string) error {
					if full.Load() && (op == what || what == "create" && op == "write" || what == "every" && op != "read" && op != "open" && op != "list" && op != "get meta") {
						return syscall.ENOSPC
					}
					return nil
				}
				for name, folder := range map[string]*faultyFolder{"state": p.state, "mark": p.mark} {
					if on == name || on == "both" {
						folder.mu.Lock()
						folder.injectError = refuse
						folder.mu.Unlock()
					}
				}
				for i := 1; i <= 1000; i++ {
					opened.put(protocol.Save{Token: uint64(i), Puts: map[string][]byte{"a": testValue(i, 20_000), fmt.Sprintf("k%d", i%5): testValue(i, 3000)}})
					if i%200 == 0 {
						time.Sleep(10 * time.Millisecond)
					}
				}
				require.Empty(t, saved, "nothing is confirmed while writes fail")
				opened.mu.Lock()
				require.LessOrEqual(t, len(opened.queued.puts), 6, "the queue is bounded: a later value replaces an earlier one")
				opened.mu.Unlock()
				for _, kept := range []int{0, 1 << 20} {
					values, damaged := p.afterPowerLoss(kept, "missing").saveAndPowerOff(t)
					require.False(t, damaged)
					require.Contains(t, values, "a", "the confirmed data is found")
				}
				full.Store(false)
				for i := 1; i <= 1000; i++ {
					require.Equal(t, uint64(i), (<-saved).Token, "in order")
				}
				require.EqualValues(t, 2, notes.Load(), "one log line at the first failure and one at the recovery")
				values, damaged := p.afterPowerLoss(0, "missing").saveAndPowerOff(t)
				require.False(t, damaged)
				require.Equal(t, testValue(1000, 20_000), values["a"])
				require.Len(t, values, 6)
				opened.close()
				<-done
			})
		}
	}
}

// A process started on a full disk begins to serve once there is room, and does not mistake the errors for damage.
func TestFullAtStart(t *testing.T) {
	for _, hasData := range []bool{false, true} {
		p := newStorePair()
		want := map[string][]byte{}
		if hasData {
			want = map[string][]byte{"a": testValue(1, 9000)}
			p.saveAndPowerOff(t, want)
			p = p.afterPowerLoss(0, "missing")
		}
		var full atomic.Bool
		full.Store(true)
		p.injectErrors(func(_ int, op string) error {
			if full.Load() && (op == "write" || op == "create" || op == "sync" || op == "meta" || op == "remove" || op == "sync folder") {
				return syscall.ENOSPC
			}
			return nil
		})
		var reports atomic.Int64
		done := make(chan struct{})
		var values map[string][]byte
		var damaged bool
		var err error
		go func() {
			defer close(done)
			var opened *disk
			if opened, values, damaged, err = awaitDisk(context.Background(), backoff{time.Millisecond, 4 * time.Millisecond}, func() (*disk, map[string][]byte, bool, error) {
				return openStores(p.folders(), func(err error) { t.Error(err) })
			}, func(error) { reports.Add(1) }); err == nil {
				opened.closeAll()
			}
		}()
		select {
		case <-done:
			t.Fatal("stopped retrying: ", err)
		case <-time.After(50 * time.Millisecond):
		}
		full.Store(false)
		<-done
		require.NoError(t, err)
		require.False(t, damaged)
		require.Equal(t, want, values)
		require.EqualValues(t, 1, reports.Load(), "the error is reported once")
	}
	// Damage found before the disk became full is still reported.
	n := 0
	opened, _, damaged, err := awaitDisk(context.Background(), backoff{time.Millisecond, time.Millisecond}, func() (*disk, map[string][]byte, bool, error) {
		if n++; n < 3 {
			return nil, nil, n == 1, syscall.ENOSPC
		}
		return openStores(newStorePair().folders(), func(error) {})
	}, func(error) {})
	require.NoError(t, err)
	require.True(t, damaged)
	opened.closeAll()
	ctx, stop := context.WithCancel(context.Background())
	stop()
	_, _, _, err = awaitDisk(ctx, backoff{time.Hour, time.Hour}, func() (*disk, map[string][]byte, bool, error) {
		return nil, nil, false, syscall.ENOSPC
	}, func(error) {})
	require.ErrorIs(t, err, syscall.ENOSPC)
}

// A stalled disk confirms nothing and blocks no caller; saves requested meanwhile are confirmed afterwards.
func TestStalledDisk(t *testing.T) {
	p := newStorePair()
	opened, _, _, err := openStores(p.folders(), func(err error) { t.Error(err) })
	require.NoError(t, err)
	saved := make(chan protocol.Saved, 100)
	opened.onSaved = func(s protocol.Saved) { saved <- s }
	done := make(chan struct{})
	go func() { opened.run(); close(done) }()
	gate := make(chan struct{})
	p.state.mu.Lock()
	p.state.syncGate = gate
	p.state.mu.Unlock()
	for i := range 100 {
		opened.put(protocol.Save{Token: uint64(i), Puts: map[string][]byte{"a": []byte(fmt.Sprint(i))}})
	}
	time.Sleep(30 * time.Millisecond)
	require.Empty(t, saved)
	p.state.mu.Lock()
	p.state.syncGate = nil
	p.state.mu.Unlock()
	close(gate)
	for i := range 100 {
		require.Equal(t, uint64(i), (<-saved).Token)
	}
	opened.close()
	<-done
	values, damaged := p.afterPowerLoss(0, "missing").saveAndPowerOff(t)
	require.False(t, damaged)
	require.Equal(t, "99", string(values["a"]))
}

// Confirmed data is missing when the stores are reopened: the damage is reported, and nothing more is confirmed.
func TestDamagedWhileRunning(t *testing.T) {
	other := newStorePair()
	other.saveAndPowerOff(t, map[string][]byte{"a": []byte("1")}, map[string][]byte{"a": []byte("5")})
	for name, damage := range map[string]func(p, before storePair){
		"another": func(p, _ storePair) {
			replaced := other.state.afterPowerLoss(0, "missing")
			p.state.files, p.state.meta = replaced.files, replaced.meta
		},
		"emptied":  func(p, _ storePair) { p.state.files, p.state.hasMeta = map[storage.FileDesc]*faultyFile{}, false },
		"set back": func(p, before storePair) { p.state.files, p.state.meta = before.state.files, before.state.meta },
		"both set back": func(p, before storePair) {
			p.state.files, p.state.meta = before.state.files, before.state.meta
			p.mark.files, p.mark.meta = before.mark.files, before.mark.meta
		},
		"mark set back": func(p, before storePair) { p.mark.files, p.mark.meta = before.mark.files, before.mark.meta },
	} {
		t.Run(name, func(t *testing.T) {
			p := newStorePair()
			reported := make(chan error, 1)
			opened, _, _, err := openStores(p.folders(), func(err error) { reported <- err })
			require.NoError(t, err)
			saved := make(chan protocol.Saved, 8)
			opened.onSaved = func(s protocol.Saved) { saved <- s }
			done := make(chan struct{})
			go func() { opened.run(); close(done) }()
			opened.put(protocol.Save{Token: 1, Puts: map[string][]byte{"a": []byte("1")}})
			<-saved
			before := p.afterPowerLoss(0, "missing")
			opened.put(protocol.Save{Token: 2, Puts: map[string][]byte{"a": []byte("2")}})
			<-saved
			var once sync.Once
			p.state.mu.Lock()
			p.state.injectError = func(_ int, op string) (err error) {
				if op == "sync" {
					once.Do(func() {
						damage(p, before)
						err = syscall.EIO
					})
				}
				return err
			}
			p.state.mu.Unlock()
			opened.put(protocol.Save{Token: 3, Puts: map[string][]byte{"b": []byte("3")}})
			select {
			case err := <-reported:
				require.ErrorIs(t, err, errDamaged)
			case <-saved:
				t.Fatal("a save was confirmed on a damaged store")
			}
			<-done
			require.Empty(t, saved)
		})
	}
}

// Closing a disk does not wait for writes that keep failing.
func TestCloseWhileFailing(t *testing.T) {
	p := newStorePair()
	folders := p.folders()
	folders.backoff = backoff{time.Hour, time.Hour}
	opened, _, _, err := openStores(folders, func(err error) { t.Error(err) })
	require.NoError(t, err)
	opened.onSaved = func(protocol.Saved) { t.Error("confirmed") }
	failed := make(chan struct{}, 100)
	p.injectErrors(func(_ int, op string) error {
		if op == "write" {
			failed <- struct{}{}
			return syscall.ENOSPC
		}
		return nil
	})
	done := make(chan struct{})
	go func() { opened.run(); close(done) }()
	opened.put(protocol.Save{Token: 1, Puts: map[string][]byte{"a": []byte("1")}})
	<-failed
	opened.close()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("close still waits for the failing disk")
	}
}

// A value of 4 MiB is stored repeatedly and correctly.
func TestLargeValue(t *testing.T) {
	p := newStorePair()
	var puts []map[string][]byte
	for i := range 12 {
		puts = append(puts, map[string][]byte{"big": testValue(i, 4<<20), "small": []byte(fmt.Sprint(i))})
	}
	_, damaged := p.saveAndPowerOff(t, puts...)
	require.False(t, damaged)
	values, damaged := p.afterPowerLoss(0, "missing").saveAndPowerOff(t)
	require.False(t, damaged)
	require.True(t, equalValues(puts[len(puts)-1], values))
}

// Journals stay small, so that a full disk leaves room for the writes needed to recover.
func TestSmallJournal(t *testing.T) {
	dir := t.TempDir()
	opened, _, _, err := openDisk(dir, func(err error) { t.Error(err) })
	require.NoError(t, err)
	saved := make(chan protocol.Saved, 1)
	opened.onSaved = func(s protocol.Saved) { saved <- s }
	done := make(chan struct{})
	go func() { opened.run(); close(done) }()
	largest := int64(0)
	for i := range 200 {
		opened.put(protocol.Save{Token: uint64(i), Puts: map[string][]byte{"a": testValue(i, 20_000)}})
		<-saved
		sum := int64(0)
		files, err := filepath.Glob(filepath.Join(dir, "*", "*"))
		require.NoError(t, err)
		for _, file := range files {
			if s, err := os.Stat(file); err == nil {
				sum += s.Size()
			}
		}
		largest = max(largest, sum)
	}
	opened.close()
	<-done
	t.Logf("at most %d bytes on the disk", largest)
	require.Less(t, largest, int64(3<<20))
}

// A store whose creation was interrupted on a full disk is created again and is not reported as damaged.
func TestInterruptedCreation(t *testing.T) {
	dir := t.TempDir()
	for _, name := range []string{"state", "mark"} {
		require.NoError(t, os.MkdirAll(filepath.Join(dir, name), 0o755))
		require.NoError(t, os.WriteFile(filepath.Join(dir, name, "CURRENT.1"), nil, 0o644))
		require.NoError(t, os.WriteFile(filepath.Join(dir, name, "MANIFEST-000001"), []byte("half"), 0o644))
	}
	values, damaged := saveToDisk(t, dir, protocol.Save{Token: 1, Puts: map[string][]byte{"a": []byte("1")}})
	require.False(t, damaged)
	require.Empty(t, values)
	// Once data was confirmed, missing files are damage.
	require.NoError(t, os.RemoveAll(filepath.Join(dir, "state")))
	_, damaged = saveToDisk(t, dir)
	require.True(t, damaged)
}
