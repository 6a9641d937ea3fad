package router

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Which headers of a request or an answer go through, and which concern one connection only.

// hopByHop tells whether a header concerns one connection only.
func hopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "Host":
		return true
	}
	return strings.HasPrefix(name, "Proxy-")
}

// copyHeaders copies the headers that go through to c.
func copyHeaders(c, h http.Header) {
	for k, v := range h {
		if !hopByHop(k) {
			c[k] = v
		}
	}
	for _, l := range h["Connection"] {
		for f := range strings.SplitSeq(l, ",") {
			delete(c, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(f)))
		}
	}
}
