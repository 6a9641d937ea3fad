package router

import (
	"net/http"

	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/ident"
)

// Attempt holds the properties of one attempt that are sent to the server in addition to the client's own headers.
type Attempt struct {
	Server      ident.Server // the only server that may run the request
	TimeLeft    clock.Span   // how much longer the client waits
	LastEvent   uint64       // resume the stream after the event with this number; zero starts from the beginning
	Precedence  int          // urgency of the request; 0 is the most urgent
	KeyVerified bool         // the router verified the client's key, which is not forwarded
	Tenant      string       // tenant that the request belongs to; empty if none
}

// ResponseInfo is the information that the head of a server's response carries.
type ResponseInfo struct {
	ID     string       // request that the response belongs to
	NotRun bool         // the server did not run the request and never will
	Kind   failure.Kind // reason if the request was not run
	Sealed bool         // the response carries the seal that proves that it comes from the server itself
}

// Dialect defines how the clients and servers of a deployment use HTTP: the names and formats of paths and
// headers. It contains no decision logic.
type Dialect interface {
	// ReadRequest extracts the properties of a client's request; the fault describes a malformed head.
	ReadRequest(r *http.Request) (fleetplan.Request, *fleetplan.Fault)
	// WriteAttempt adds the properties of an attempt to the headers of its request, which already contain the client's
	// own headers. Tenant headers set by the client are removed.
	WriteAttempt(h http.Header, a Attempt)
	// ReadResponse extracts the properties of a server's response from its status and headers.
	ReadResponse(status int, h http.Header) ResponseInfo
	// EventNumber returns the event number that a line of an event stream carries, if any.
	EventNumber(line []byte) (n uint64, ok bool)
	// ReadinessPath returns the path of the router's readiness endpoint.
	ReadinessPath() string
}
