package router

import (
	"net/http"

	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/ident"
)

// Attempt is what one attempt's request at a server says beside the caller's own words.
type Attempt struct {
	Server ident.Server // the only one that may run it
	Left   clock.Span   // how much longer the caller waits
	Seen   uint64       // the stream is taken up after the event of this number; zero begins it
	Rank   int          // how urgent it is: 0 comes first
	Keyed  bool         // the caller's key was looked at, and goes no further
	Tenant string       // whose request it is; empty for nobody's
}

// Said is what the head of a server's answer says.
type Said struct {
	ID     string       // of the request that it answers
	NotRun bool         // the server did not run the request and never will
	Kind   failure.Kind // why, when it did not
	Sealed bool         // it is marked as the server's own
}

// Dialect is how a deployment's callers and servers speak HTTP. It holds names and formats and
// decides nothing.
type Dialect interface {
	// Read gives the facts of a caller's request; the fault says what of its head cannot be read.
	Read(r *http.Request) (fleetplan.Call, *fleetplan.Fault)
	// Write adds to the head of an attempt's request what the attempt says; the caller's own
	// headers are in it already. What they say of a tenant is no word of the router's, and goes.
	Write(h http.Header, a Attempt)
	// Answer reads the head of a server's answer.
	Answer(status int, h http.Header) Said
	// Event gives the number of an event of a stream, from one line of it.
	Event(line []byte) (n uint64, ok bool)
	// Ready is the path at which a router tells whether it can be given callers.
	Ready() string
}
