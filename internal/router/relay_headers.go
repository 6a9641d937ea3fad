package router

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Selection of the headers that are forwarded; hop-by-hop headers are not.

// hopByHop reports whether a header applies to a single connection only.
func hopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "Host":
		return true
	}
	return strings.HasPrefix(name, "Proxy-")
}

// copyHeaders copies the headers that are forwarded from src to dst.
func copyHeaders(dst, src http.Header) {
	for k, v := range src {
		if !hopByHop(k) {
			dst[k] = v
		}
	}
	for _, line := range src["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			delete(dst, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name)))
		}
	}
}
