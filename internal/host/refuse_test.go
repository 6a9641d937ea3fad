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

// works are saves that outgrow their journals, and what the store has after each of them.
func works(n, size int) (puts, states []map[string][]byte) {
	states = append(states, map[string][]byte{})
	for i := range n {
		put := map[string][]byte{fmt.Sprintf("k%d", i%3): val(i, size+i), "last": []byte(fmt.Sprint(i))}
		puts = append(puts, put)
		all := map[string][]byte{}
		for _, m := range []map[string][]byte{states[i], put} {
			for k, v := range m {
				all[k] = v
			}
		}
		states = append(states, all)
	}
	return puts, states
}

func same(a, b map[string][]byte) bool {
	if len(a) != len(b) {
		return false
	}
	for k, v := range a {
		if w, ok := b[k]; !ok || !bytes.Equal(v, w) {
			return false
		}
	}
	return true
}

// each sets what the calls to both folders meet.
func (p pair) each(f func(op int, what string) error) {
	for _, r := range []*rough{p.state, p.mark} {
		r.mu.Lock()
		r.fails = f
		r.mu.Unlock()
	}
}

// outcome is what one life of a disk in trouble came to.
type outcome struct {
	calls     int
	confirmed int
	died      error
}

// live opens a disk, saves one after the other while calls fail, and ends, at the latest
// when the power goes.
func (p pair) live(t *testing.T, puts []map[string][]byte, fails func(call int) error) (o outcome) {
	t.Helper()
	var calls, confirmed atomic.Int64
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	p.each(func(int, string) error {
		err := fails(int(calls.Add(1)))
		if err == syscall.ENODEV {
			stop()
		}
		return err
	})
	died := make(chan error, 1)
	d, _, harm, err := awaitDisk(ctx, backoff{time.Millisecond, 4 * time.Millisecond}, func() (*disk, map[string][]byte, bool, error) {
		return openStores(p.folders(), func(err error) { died <- err })
	}, func(error) {})
	require.False(t, harm, "what was never damaged is not set aside: %v", err)
	if err == nil {
		saved := make(chan protocol.Saved, len(puts))
		d.done = func(s protocol.Saved) { confirmed.Add(1); saved <- s }
		end := make(chan struct{})
		go func() { d.run(); close(end) }()
	all:
		for i, b := range puts {
			d.put(protocol.Save{Token: uint64(i), Puts: b})
			select {
			case s := <-saved:
				require.Equal(t, uint64(i), s.Token)
			case <-ctx.Done():
				break all
			case <-end:
				break all
			}
		}
		d.close()
		<-end
	}
	select {
	case o.died = <-died:
	default:
	}
	o.calls, o.confirmed = int(calls.Load()), int(confirmed.Load())
	return o
}

// Each single call fails in turn, alone or with those after it, with its effect or without:
// all is confirmed in the end. And should the power go right after, what is found is at
// least what was confirmed, and no damage.
func TestEachCallRefused(t *testing.T) {
	puts, states := works(8, 60_000)
	for _, many := range []int{1, 4, 30} {
		for _, late := range []bool{false, true} {
			for _, dark := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d/%v/%v", many, late, dark), func(t *testing.T) {
					t.Parallel()
					n := 0
					for at := 1; ; at++ {
						p := newPair()
						o := p.live(t, puts, func(call int) error {
							switch {
							case call < at:
								return nil
							case call >= at+many && dark:
								return syscall.ENODEV
							case call >= at+many:
								return nil
							case late:
								return lateError{syscall.ENOSPC}
							}
							return syscall.ENOSPC
						})
						require.NoError(t, o.died, "from call %d", at)
						if !dark {
							require.Equal(t, len(puts), o.confirmed, "from call %d", at)
						}
						for kept, how := range map[int]string{0: "missing", 100: "noise", 1 << 20: "missing"} {
							m, harm := p.after(kept, how).use(t)
							require.False(t, harm, "from call %d, %d kept", at, kept)
							require.True(t, same(states[o.confirmed], m) || o.confirmed < len(puts) && same(states[o.confirmed+1], m),
								"from call %d, %d kept: %d were confirmed, found is %s", at, kept, o.confirmed, m["last"])
						}
						if n++; o.calls < at {
							break
						}
					}
					t.Logf("%d lives", n)
				})
			}
		}
	}
}

// Two single calls fail, the second while the first is being recovered from, and then the
// power goes, or does not.
func TestTwoCallsRefused(t *testing.T) {
	puts, states := works(3, 300)
	for _, late := range []bool{false, true} {
		for _, dark := range []bool{false, true} {
			t.Run(fmt.Sprintf("%v/%v", late, dark), func(t *testing.T) {
				t.Parallel()
				n, most := 0, 1
				for at := 1; at <= most; at++ {
					for gap := 1; gap <= 32; gap++ {
						p := newPair()
						o := p.live(t, puts, func(call int) error {
							switch {
							case dark && call > at+gap:
								return syscall.ENODEV
							case call != at && call != at+gap:
								return nil
							case late:
								return lateError{syscall.ENOSPC}
							}
							return syscall.ENOSPC
						})
						require.NoError(t, o.died, "calls %d and %d", at, at+gap)
						if !dark {
							require.Equal(t, len(puts), o.confirmed, "calls %d and %d", at, at+gap)
						}
						for _, kept := range []int{0, 1 << 20} {
							m, harm := p.after(kept, "missing").use(t)
							require.False(t, harm, "calls %d and %d, %d kept", at, at+gap, kept)
							require.True(t, same(states[o.confirmed], m) || o.confirmed < len(puts) && same(states[o.confirmed+1], m),
								"calls %d and %d, %d kept: %d were confirmed, found is %s", at, at+gap, kept, o.confirmed, m["last"])
						}
						n++
						most = max(most, min(o.calls, 60))
					}
				}
				t.Logf("%d lives", n)
			})
		}
	}
}

// A write that reached the first store only is found there; the next one then fails as well.
func TestFoundThenRefused(t *testing.T) {
	for at := 1; at <= 10; at++ {
		p := newPair()
		d, _, _, err := openStores(p.folders(), func(err error) { t.Error(at, err) })
		require.NoError(t, err)
		saved := make(chan protocol.Saved, 1)
		d.done = func(s protocol.Saved) { saved <- s }
		var marks, writes atomic.Int64
		p.mark.fails = func(_ int, w string) error {
			if w == "write" && marks.Add(1) == 1 {
				return syscall.ENOSPC
			}
			return nil
		}
		p.state.fails = func(_ int, w string) error {
			if w == "write" && marks.Load() > 0 && writes.Add(1) == int64(at) {
				return syscall.ENOSPC
			}
			return nil
		}
		end := make(chan struct{})
		go func() { d.run(); close(end) }()
		d.put(protocol.Save{Token: 1, Puts: map[string][]byte{"a": []byte("1")}})
		select {
		case <-saved:
		case <-end:
			t.Fatal("ended by itself")
		}
		d.close()
		<-end
		m, harm := p.after(0, "missing").use(t)
		require.False(t, harm)
		require.Equal(t, "1", string(m["a"]))
	}
}

// A disk that refuses every write for a while: nothing is confirmed meanwhile, all of it
// afterwards and in order, and the node lives on.
func TestRefusesForAWhile(t *testing.T) {
	for _, on := range []string{"state", "mark", "both"} {
		for _, what := range []string{"write", "sync", "create", "every"} {
			t.Run(on+"/"+what, func(t *testing.T) {
				t.Parallel()
				p := newPair()
				d, _, _, err := openStores(p.folders(), func(err error) { t.Error(err) })
				require.NoError(t, err)
				var notes atomic.Int64
				d.note = func(string) { notes.Add(1) }
				saved := make(chan protocol.Saved, 2000)
				d.done = func(s protocol.Saved) { saved <- s }
				end := make(chan struct{})
				go func() { d.run(); close(end) }()
				d.put(protocol.Save{Token: 0, Puts: map[string][]byte{"a": []byte("0")}})
				<-saved
				var full atomic.Bool
				full.Store(true)
				refuse := func(_ int, w string) error {
					if full.Load() && (w == what || what == "create" && w == "write" || what == "every" && w != "read" && w != "open" && w != "list" && w != "get meta") {
						return syscall.ENOSPC
					}
					return nil
				}
				for n, r := range map[string]*rough{"state": p.state, "mark": p.mark} {
					if on == n || on == "both" {
						r.mu.Lock()
						r.fails = refuse
						r.mu.Unlock()
					}
				}
				for i := 1; i <= 1000; i++ {
					d.put(protocol.Save{Token: uint64(i), Puts: map[string][]byte{"a": val(i, 20_000), fmt.Sprintf("k%d", i%5): val(i, 3000)}})
					if i%200 == 0 {
						time.Sleep(10 * time.Millisecond)
					}
				}
				require.Empty(t, saved, "nothing is confirmed while the disk refuses")
				d.mu.Lock()
				require.LessOrEqual(t, len(d.next.puts), 6, "what waits is bounded: a later put takes the place of an earlier one")
				d.mu.Unlock()
				for _, kept := range []int{0, 1 << 20} {
					m, harm := p.after(kept, "missing").use(t)
					require.False(t, harm)
					require.Contains(t, m, "a", "what was confirmed is there")
				}
				full.Store(false)
				for i := 1; i <= 1000; i++ {
					require.Equal(t, uint64(i), (<-saved).Token, "in order")
				}
				require.EqualValues(t, 2, notes.Load(), "one note when it begins, one when it is over")
				m, harm := p.after(0, "missing").use(t)
				require.False(t, harm)
				require.Equal(t, val(1000, 20_000), m["a"])
				require.Len(t, m, 6)
				d.close()
				<-end
			})
		}
	}
}

// A process that starts on a full disk serves once there is room, and takes nothing for damage.
func TestFullAtStart(t *testing.T) {
	for _, used := range []bool{false, true} {
		p := newPair()
		want := map[string][]byte{}
		if used {
			want = map[string][]byte{"a": val(1, 9000)}
			p.use(t, want)
			p = p.after(0, "missing")
		}
		var full atomic.Bool
		full.Store(true)
		p.each(func(_ int, w string) error {
			if full.Load() && (w == "write" || w == "create" || w == "sync" || w == "meta" || w == "remove" || w == "sync folder") {
				return syscall.ENOSPC
			}
			return nil
		})
		var told atomic.Int64
		got := make(chan struct{})
		var m map[string][]byte
		var harm bool
		var err error
		go func() {
			defer close(got)
			var d *disk
			if d, m, harm, err = awaitDisk(context.Background(), backoff{time.Millisecond, 4 * time.Millisecond}, func() (*disk, map[string][]byte, bool, error) {
				return openStores(p.folders(), func(err error) { t.Error(err) })
			}, func(error) { told.Add(1) }); err == nil {
				d.shut()
			}
		}()
		select {
		case <-got:
			t.Fatal("gave up: ", err)
		case <-time.After(50 * time.Millisecond):
		}
		full.Store(false)
		<-got
		require.NoError(t, err)
		require.False(t, harm)
		require.Equal(t, want, m)
		require.EqualValues(t, 1, told.Load(), "told once")
	}
	// A damaged store found before the disk filled up is still told as one.
	n := 0
	d, _, harm, err := awaitDisk(context.Background(), backoff{time.Millisecond, time.Millisecond}, func() (*disk, map[string][]byte, bool, error) {
		if n++; n < 3 {
			return nil, nil, n == 1, syscall.ENOSPC
		}
		return openStores(newPair().folders(), func(error) {})
	}, func(error) {})
	require.NoError(t, err)
	require.True(t, harm)
	d.shut()
	ctx, stop := context.WithCancel(context.Background())
	stop()
	_, _, _, err = awaitDisk(ctx, backoff{time.Hour, time.Hour}, func() (*disk, map[string][]byte, bool, error) {
		return nil, nil, false, syscall.ENOSPC
	}, func(error) {})
	require.ErrorIs(t, err, syscall.ENOSPC)
}

// A disk that stalls confirms nothing and blocks no one who asks; what came meanwhile follows.
func TestStall(t *testing.T) {
	p := newPair()
	d, _, _, err := openStores(p.folders(), func(err error) { t.Error(err) })
	require.NoError(t, err)
	saved := make(chan protocol.Saved, 100)
	d.done = func(s protocol.Saved) { saved <- s }
	end := make(chan struct{})
	go func() { d.run(); close(end) }()
	gate := make(chan struct{})
	p.state.mu.Lock()
	p.state.gate = gate
	p.state.mu.Unlock()
	for i := range 100 {
		d.put(protocol.Save{Token: uint64(i), Puts: map[string][]byte{"a": []byte(fmt.Sprint(i))}})
	}
	time.Sleep(30 * time.Millisecond)
	require.Empty(t, saved)
	p.state.mu.Lock()
	p.state.gate = nil
	p.state.mu.Unlock()
	close(gate)
	for i := range 100 {
		require.Equal(t, uint64(i), (<-saved).Token)
	}
	d.close()
	<-end
	m, harm := p.after(0, "missing").use(t)
	require.False(t, harm)
	require.Equal(t, "99", string(m["a"]))
}

// What was confirmed is gone when the stores are opened again: the node is told, and confirms
// no more.
func TestDamagedWhileRunning(t *testing.T) {
	other := newPair()
	other.use(t, map[string][]byte{"a": []byte("1")}, map[string][]byte{"a": []byte("5")})
	for name, hurt := range map[string]func(p, before pair){
		"another": func(p, _ pair) {
			o := other.state.after(0, "missing")
			p.state.files, p.state.meta = o.files, o.meta
		},
		"emptied":  func(p, _ pair) { p.state.files, p.state.has = map[storage.FileDesc]*roughFile{}, false },
		"set back": func(p, b pair) { p.state.files, p.state.meta = b.state.files, b.state.meta },
		"both set back": func(p, b pair) {
			p.state.files, p.state.meta = b.state.files, b.state.meta
			p.mark.files, p.mark.meta = b.mark.files, b.mark.meta
		},
		"mark set back": func(p, b pair) { p.mark.files, p.mark.meta = b.mark.files, b.mark.meta },
	} {
		t.Run(name, func(t *testing.T) {
			p := newPair()
			told := make(chan error, 1)
			d, _, _, err := openStores(p.folders(), func(err error) { told <- err })
			require.NoError(t, err)
			saved := make(chan protocol.Saved, 8)
			d.done = func(s protocol.Saved) { saved <- s }
			end := make(chan struct{})
			go func() { d.run(); close(end) }()
			d.put(protocol.Save{Token: 1, Puts: map[string][]byte{"a": []byte("1")}})
			<-saved
			before := p.after(0, "missing")
			d.put(protocol.Save{Token: 2, Puts: map[string][]byte{"a": []byte("2")}})
			<-saved
			var once sync.Once
			p.state.mu.Lock()
			p.state.fails = func(_ int, w string) (err error) {
				if w == "sync" {
					once.Do(func() {
						hurt(p, before)
						err = syscall.EIO
					})
				}
				return err
			}
			p.state.mu.Unlock()
			d.put(protocol.Save{Token: 3, Puts: map[string][]byte{"b": []byte("3")}})
			select {
			case err := <-told:
				require.ErrorIs(t, err, errDamaged)
			case <-saved:
				t.Fatal("confirmed on top of a damaged store")
			}
			<-end
			require.Empty(t, saved)
		})
	}
}

// An end that is asked for does not wait for a disk that refuses.
func TestEndWhileRefused(t *testing.T) {
	p := newPair()
	v := p.folders()
	v.backoff = backoff{time.Hour, time.Hour}
	d, _, _, err := openStores(v, func(err error) { t.Error(err) })
	require.NoError(t, err)
	d.done = func(protocol.Saved) { t.Error("confirmed") }
	hit := make(chan struct{}, 100)
	p.each(func(_ int, w string) error {
		if w == "write" {
			hit <- struct{}{}
			return syscall.ENOSPC
		}
		return nil
	})
	end := make(chan struct{})
	go func() { d.run(); close(end) }()
	d.put(protocol.Save{Token: 1, Puts: map[string][]byte{"a": []byte("1")}})
	<-hit
	d.close()
	select {
	case <-end:
	case <-time.After(10 * time.Second):
		t.Fatal("still waits")
	}
}

// A value of 4 MiB is kept, again and again, and what lies on the disk stays bounded.
func TestLargeValue(t *testing.T) {
	p := newPair()
	var puts []map[string][]byte
	for i := range 12 {
		puts = append(puts, map[string][]byte{"big": val(i, 4<<20), "small": []byte(fmt.Sprint(i))})
	}
	_, harm := p.use(t, puts...)
	require.False(t, harm)
	m, harm := p.after(0, "missing").use(t)
	require.False(t, harm)
	require.True(t, same(puts[len(puts)-1], m))
}

// Journals stay small, so that a full disk leaves room for what must be written to recover.
func TestSmallJournal(t *testing.T) {
	dir := t.TempDir()
	d, _, _, err := openDisk(dir, func(err error) { t.Error(err) })
	require.NoError(t, err)
	saved := make(chan protocol.Saved, 1)
	d.done = func(s protocol.Saved) { saved <- s }
	end := make(chan struct{})
	go func() { d.run(); close(end) }()
	most := int64(0)
	for i := range 200 {
		d.put(protocol.Save{Token: uint64(i), Puts: map[string][]byte{"a": val(i, 20_000)}})
		<-saved
		sum := int64(0)
		l, err := filepath.Glob(filepath.Join(dir, "*", "*"))
		require.NoError(t, err)
		for _, f := range l {
			if s, err := os.Stat(f); err == nil {
				sum += s.Size()
			}
		}
		most = max(most, sum)
	}
	d.close()
	<-end
	t.Logf("at most %d bytes on the disk", most)
	require.Less(t, most, int64(3<<20))
}

// A store whose beginning broke off on a full disk is begun again and is no damage.
func TestBrokenBeginning(t *testing.T) {
	dir := t.TempDir()
	for _, n := range []string{"state", "mark"} {
		require.NoError(t, os.MkdirAll(filepath.Join(dir, n), 0o755))
		require.NoError(t, os.WriteFile(filepath.Join(dir, n, "CURRENT.1"), nil, 0o644))
		require.NoError(t, os.WriteFile(filepath.Join(dir, n, "MANIFEST-000001"), []byte("half"), 0o644))
	}
	m, harm := keep(t, dir, protocol.Save{Token: 1, Puts: map[string][]byte{"a": []byte("1")}})
	require.False(t, harm)
	require.Empty(t, m)
	// Once something was confirmed, files that are gone are damage as before.
	require.NoError(t, os.RemoveAll(filepath.Join(dir, "state")))
	_, harm = keep(t, dir)
	require.True(t, harm)
}
