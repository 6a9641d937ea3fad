package connlimit

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
)

type connKey struct{}

// of returns the limited connection of a request, or nil.
func of(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}

// Attach makes an HTTP server that accepts connections from l's listener tell it how far each request has come.
func (l *Limiter) Attach(server *http.Server) {
	next, connState, connContext := server.Handler, server.ConnState, server.ConnContext
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := of(r); c != nil {
			c.trackRequest(r)
		}
		next.ServeHTTP(w, r)
	})
	server.ConnState = func(c net.Conn, s http.ConnState) {
		if limited, ok := c.(*Conn); ok && s == http.StateIdle {
			limited.Release()
		}
		if connState != nil {
			connState(c, s)
		}
	}
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
}

// trackRequest notes that a request's head has been read, and follows its body.
func (c *Conn) trackRequest(r *http.Request) {
	c.HeadComplete()
	if r.Body == nil || r.Body == http.NoBody {
		c.Claim()
		return
	}
	r.Body = &trackedBody{r.Body, c}
}

// trackedBody claims the connection's place once the body has been read whole.
type trackedBody struct {
	io.ReadCloser
	conn *Conn
}

// Read reads from the body.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.conn.Claim()
	}
	return n, err
}

// Answer returns an HTTP answer that closes its connection.
func Answer(status int, header http.Header, body []byte) []byte {
	response := http.Response{StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: header, Close: true,
		ContentLength: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body))}
	var b bytes.Buffer
	_ = response.Write(&b)
	return b.Bytes()
}
