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

// FuzzDamagedStore damages one of the stores by a script of truncated, modified, exchanged, copied, removed and added
// files and opens both: they must contain the confirmed data or be set aside.
func FuzzDamagedStore(f *testing.F) {
	intact := newStorePair()
	older := map[string][]byte{"vote": []byte("1"), "accepted": testValue(1, 300)}
	newest := map[string][]byte{"vote": []byte("2"), "accepted": testValue(2, 300)}
	intact.saveAndPowerOff(&testing.T{}, older, map[string][]byte{"accepted": testValue(3, 300_000)}, newest)
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
		p := intact.afterPowerLoss(0, "missing")
		damagedStore := p.state
		if len(script) > 0 && script[0]%2 == 1 {
			damagedStore = p.mark
		}
		for len(script) >= step {
			damagedStore.damage(script[1]%6, int(script[2]), int(binary.BigEndian.Uint16(script[3:5])), script[5])
			script = script[step:]
		}
		values, damaged := p.saveAndPowerOff(t, map[string][]byte{"later": []byte("1")})
		if damaged {
			require.Empty(t, values, "no data is taken from a damaged store")
		} else {
			require.True(t, equalValues(newest, values), "the confirmed data is found")
		}
		values, damaged = p.afterPowerLoss(0, "missing").saveAndPowerOff(t)
		require.False(t, damaged)
		require.Equal(t, "1", string(values["later"]))
	})
}

// damage changes the file selected by pick in one of six ways.
func (r *faultyFolder) damage(kind byte, pick, at int, param byte) {
	names := sortedFiles(r.files)
	if len(names) == 0 {
		return
	}
	name := names[pick%len(names)]
	file := r.files[name]
	at %= len(file.data) + 1
	switch kind {
	case 0:
		if at < len(file.data) {
			file.data[at] ^= param
		}
	case 1:
		file.data = file.data[:at]
	case 2:
		delete(r.files, name)
	case 3:
		other := names[int(param)%len(names)]
		file.data, r.files[other].data = r.files[other].data, file.data
	case 4:
		types := []storage.FileType{storage.TypeManifest, storage.TypeJournal, storage.TypeTable}
		added := storage.FileDesc{Type: types[int(param)%len(types)], Num: int64(at % 64)}
		data := append([]byte{}, file.data...)
		r.files[added] = &faultyFile{data: data, synced: len(data), nameSynced: true}
	case 5:
		r.meta = name
	}
	for _, f := range r.files {
		f.synced = len(f.data)
	}
}

// FuzzPost passes arbitrary bytes to the receiving end of a stream between processes: the receiver must end with the
// input and pass on only valid envelopes.
func FuzzPost(f *testing.F) {
	sent := sentBytes(f, protocol.Envelope{From: protocol.Peer{ID: "a", Addr: "1"}, To: protocol.Peer{ID: "b", Addr: "2"}, Body: protocol.FetchValue{Round: 3}})
	f.Add(sent)
	f.Add(append(append([]byte{}, sent...), sent...))
	f.Add(sent[:len(sent)/2])
	f.Fuzz(func(t *testing.T, raw []byte) {
		local, remote := net.Pipe()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			r := &receiver{openTimeout: 20 * time.Millisecond, onStreamOpened: func(string, time.Time) {}, deliver: func(e protocol.Envelope) {
				_, err := protocol.Pack(e)
				require.NoError(t, err)
			}}
			r.receive(context.Background(), remote)
		}()
		go func() { _, _ = io.Copy(io.Discard, local) }()
		_, _ = local.Write(raw)
		_ = local.Close()
		select {
		case <-ended:
		case <-time.After(10 * time.Second):
			t.Fatal("the connection was not closed")
		}
	})
}

// sentBytes returns the bytes that a process writes to a connection to send an envelope.
func sentBytes(t testing.TB, e protocol.Envelope) []byte {
	t.Helper()
	local, remote := net.Pipe()
	var mu sync.Mutex
	var sent []byte
	done := make(chan struct{})
	go func() {
		defer close(done)
		buffer := make([]byte, 4096)
		for {
			n, err := remote.Read(buffer)
			mu.Lock()
			sent = append(sent, buffer[:n]...)
			mu.Unlock()
			if err != nil {
				return
			}
		}
	}()
	conn := drpcconn.NewWithOptions(local, drpcconn.Options{Manager: managerOptions})
	stream, err := conn.NewStream(context.Background(), envelopeRPC, envelopeCodec{})
	require.NoError(t, err)
	require.NoError(t, stream.MsgSend(&e, envelopeCodec{}))
	_ = remote.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	<-done
	mu.Lock()
	defer mu.Unlock()
	_ = conn.Close()
	return append([]byte{}, sent...)
}

// FuzzSettings reads arbitrary settings files: each must be refused or yield flags, and none may end the process.
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
		parser, err := kong.New(&cli)
		require.NoError(t, err)
		resolver, faults := readSettings(parser, raw)
		if len(faults) > 0 {
			return
		}
		kong.Resolvers(resolver).Apply(parser)
		_, _ = parser.Parse(nil)
	})
}
