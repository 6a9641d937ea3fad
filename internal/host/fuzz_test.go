package host

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	"github.com/stretchr/testify/require"
	"github.com/syndtr/goleveldb/leveldb/storage"
	"storj.io/drpc/drpcconn"

	"tidedeck/internal/protocol"
)

// FuzzDamagedStore opens stores of which one was changed by any script of cuts, flipped bytes, exchanged,
// copied, removed and added files: what is found is what was confirmed, or they are set aside.
func FuzzDamagedStore(f *testing.F) {
	sound := newPair()
	older := map[string][]byte{"vote": []byte("1"), "accepted": val(1, 300)}
	newest := map[string][]byte{"vote": []byte("2"), "accepted": val(2, 300)}
	sound.use(&testing.T{}, older, map[string][]byte{"accepted": val(3, 300_000)}, newest)
	for _, seed := range [][]byte{
		{0, 0, 0, 0, 1, 7},
		{1, 0, 1, 0, 1, 0},
		{0, 1, 2, 3, 0, 0, 0, 2, 3, 1, 0, 0},
		{0, 3, 4, 0, 200, 1, 1, 3, 5, 0, 9, 9},
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, script []byte) {
		const step = 6
		if len(script) > 20*step {
			return
		}
		p := sound.after(0, "missing")
		hurt := p.state
		if len(script) > 0 && script[0]%2 == 1 {
			hurt = p.mark
		}
		for len(script) >= step {
			hurt.damage(script[1]%6, int(script[2]), int(binary.BigEndian.Uint16(script[3:5])), script[5])
			script = script[step:]
		}
		values, damaged := p.use(t, map[string][]byte{"later": []byte("1")})
		if damaged {
			require.Empty(t, values, "a damaged store votes for nothing")
		} else {
			require.True(t, same(newest, values), "what was confirmed is there")
		}
		values, damaged = p.after(0, "missing").use(t)
		require.False(t, damaged)
		require.Equal(t, "1", string(values["later"]))
	})
}

// damage changes one file, picked by a number, in one of six ways.
func (r *rough) damage(how byte, pick, at int, with byte) {
	names := sortedNames(r.files)
	if len(names) == 0 {
		return
	}
	fd := names[pick%len(names)]
	file := r.files[fd]
	at %= len(file.data) + 1
	switch how {
	case 0:
		if at < len(file.data) {
			file.data[at] ^= with
		}
	case 1:
		file.data = file.data[:at]
	case 2:
		delete(r.files, fd)
	case 3:
		other := names[int(with)%len(names)]
		file.data, r.files[other].data = r.files[other].data, file.data
	case 4:
		types := []storage.FileType{storage.TypeManifest, storage.TypeJournal, storage.TypeTable}
		added := storage.FileDesc{Type: types[int(with)%len(types)], Num: int64(at % 64)}
		data := append([]byte{}, file.data...)
		r.files[added] = &roughFile{data: data, synced: len(data), named: true}
	case 5:
		r.meta = fd
	}
	for _, f := range r.files {
		f.synced = len(f.data)
	}
}

// FuzzPost gives the end of a stream between processes any bytes: it ends with them, and hands on only
// envelopes that can be read.
func FuzzPost(f *testing.F) {
	sent := sentBytes(f, protocol.Env{From: protocol.Sibling{ID: "a", Addr: "1"}, To: protocol.Sibling{ID: "b", Addr: "2"}, Body: protocol.Fetch{Round: 3}})
	f.Add(sent)
	f.Add(append(append([]byte{}, sent...), sent...))
	f.Add(sent[:len(sent)/2])
	f.Fuzz(func(t *testing.T, raw []byte) {
		near, far := net.Pipe()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			r := &receiver{wait: 20 * time.Millisecond, opened: func(string, time.Time) {}, take: func(e protocol.Env) {
				_, err := protocol.Pack(e)
				require.NoError(t, err)
			}}
			r.receive(context.Background(), far)
		}()
		go func() { _, _ = io.Copy(io.Discard, near) }()
		_, _ = near.Write(raw)
		_ = near.Close()
		select {
		case <-ended:
		case <-time.After(10 * time.Second):
			t.Fatal("the connection is not ended")
		}
	})
}

// sentBytes gives what a process writes to a connection to send an envelope.
func sentBytes(t testing.TB, e protocol.Env) []byte {
	t.Helper()
	near, far := net.Pipe()
	var mu sync.Mutex
	var sent []byte
	end := make(chan struct{})
	go func() {
		defer close(end)
		b := make([]byte, 4096)
		for {
			n, err := far.Read(b)
			mu.Lock()
			sent = append(sent, b[:n]...)
			mu.Unlock()
			if err != nil {
				return
			}
		}
	}()
	c := drpcconn.NewWithOptions(near, drpcconn.Options{Manager: manage})
	s, err := c.NewStream(context.Background(), rpcPost, coding{})
	require.NoError(t, err)
	require.NoError(t, s.MsgSend(&e, coding{}))
	_ = far.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	<-end
	mu.Lock()
	defer mu.Unlock()
	_ = c.Close()
	return append([]byte{}, sent...)
}

// FuzzSettings reads any settings file: it is refused or gives flags, and never ends the process by itself.
func FuzzSettings(f *testing.F) {
	for _, raw := range []string{`{"listen":"127.0.0.1:1","seeds":["a","b"],"wait":3}`, `{"wait":null}`, `{"nothing":1}`, `[]`, `{`} {
		f.Add([]byte(raw))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var cli struct {
			Listen string
			Seeds  []string
			Wait   int
			Brisk  bool
		}
		p, err := kong.New(&cli)
		require.NoError(t, err)
		resolver, faults := readSettings(p, raw)
		if len(faults) > 0 {
			return
		}
		kong.Resolvers(resolver).Apply(p)
		_, _ = p.Parse(nil)
	})
}
