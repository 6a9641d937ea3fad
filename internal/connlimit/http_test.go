package connlimit

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// serveLimited serves HTTP within limits.
func serveLimited(t *testing.T, c Config, handler http.HandlerFunc) (*Limiter, string) {
	t.Helper()
	listener, err := c.Listen(context.Background(), net.ListenConfig{}, "127.0.0.1:0")
	require.NoError(t, err)
	limiter := New(c)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	limiter.Attach(server)
	go func() { _ = server.Serve(limiter.Wrap(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	return limiter, listener.Addr().String()
}

// A request has a claim from the moment at which its body has been read, until its answer has ended.
func TestRequestsAreFollowed(t *testing.T) {
	config := testConfig(4)
	config.Buffer, config.BodyCost = bufferBytes, 3
	claimed := make(chan int, 2)
	var limiter *Limiter
	count := func() {
		limiter.mu.Lock()
		defer limiter.mu.Unlock()
		claimed <- len(limiter.claimed)
	}
	limiter, address := serveLimited(t, config, func(w http.ResponseWriter, r *http.Request) {
		count()
		_, _ = io.Copy(io.Discard, r.Body)
		count()
	})
	for body, want := range map[string][]int{"": {1, 1}, "text": {0, 1}} {
		response, err := http.Post("http://"+address, "text/plain", strings.NewReader(body))
		require.NoError(t, err)
		_ = response.Body.Close()
		require.Equal(t, want, []int{<-claimed, <-claimed}, body)
	}
	require.Eventually(t, func() bool {
		limiter.mu.Lock()
		defer limiter.mu.Unlock()
		return len(limiter.claimed) == 0 && limiter.input == 0 && limiter.waiting[idle].Len() == limiter.open
	}, time.Minute, time.Millisecond)
	http.DefaultClient.CloseIdleConnections()
	require.Eventually(t, func() bool { return limiter.Counts().Open == 0 }, time.Minute, time.Millisecond)
}

// The kernel keeps no more of what a connection has received than its limit names.
func TestBuffersAreBounded(t *testing.T) {
	limits := Limits{Buffer: bufferBytes}
	listener, err := limits.Listen(context.Background(), net.ListenConfig{}, "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	require.NoError(t, client.(*net.TCPConn).SetWriteBuffer(bufferBytes))
	_, err = listener.Accept()
	require.NoError(t, err)
	require.NoError(t, client.SetWriteDeadline(time.Now().Add(time.Second)))
	sent, err := client.Write(make([]byte, 8<<20))
	require.Error(t, err, "nobody reads")
	require.Less(t, sent, 8*bufferBytes)
}
