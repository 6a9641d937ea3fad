// Package history records the operations that clients execute on the versioned plan register, and checks
// that the recorded history is linearizable: that all answers are consistent with one total order of the
// operations, in which each operation takes effect at one point in time between its invocation and its return.
package history

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
)

// Kind is the type of an operation on the register.
type Kind int

// The kinds of operations.
const (
	Put   Kind = iota // replaces the plan with the body
	Patch             // merges the body into the plan
	Touch             // changes something other than the plan, under a new version
	Read
)

var kindNames = map[Kind]string{Put: "put", Patch: "patch", Touch: "touch", Read: "read"}

func (k Kind) String() string { return kindNames[k] }

// Outcome is the result of an operation that the client received.
type Outcome int

// The outcomes of an operation.
const (
	Unclear  Outcome = iota // the operation may take effect at any later time, or never
	Taken                   // a change was confirmed
	Conflict                // a change was refused: another version was in force
	Invalid                 // a change was refused because of its content
	Answered                // a read was answered
)

var outcomeNames = map[Outcome]string{Unclear: "unclear", Taken: "taken", Conflict: "conflict", Invalid: "invalid", Answered: "answered"}

func (o Outcome) String() string { return outcomeNames[o] }

// Digest identifies the contents of a plan.
type Digest string

// digestLength is the number of bytes of the hash in a Digest.
const digestLength = 8

// DigestOf returns the digest of a plan.
func DigestOf(plan []byte) Digest {
	sum := sha256.Sum256(plan)
	return Digest(hex.EncodeToString(sum[:digestLength]))
}

// neverReturned is the return time of an operation whose result is not known.
const neverReturned = math.MaxInt64

// Operation is one request of a client to one node. Times are in nanoseconds.
type Operation struct {
	Kind            Kind
	Node            string
	Change          string // id of the change; a repeat has the same id
	ExpectedVersion uint64 // the version that the change expects to be in force
	AnyVersion      bool   // accepts any version
	AssignedVersion uint64 // the version that the client assigns to the change; zero means the next one
	Body            []byte // the plan or the patch

	Outcome        Outcome
	Version        uint64 // version in the answer
	VersionUnknown bool   // the answer contains no version
	Plan           Digest // digest of the plan read

	Invoke, Return int64
}

// String formats an operation for messages.
func (o Operation) String() string {
	span := fmt.Sprintf("%.3fs..%.3fs", float64(o.Invoke)/1e9, float64(o.Return)/1e9)
	if o.Return == neverReturned {
		span = fmt.Sprintf("%.3fs..", float64(o.Invoke)/1e9)
	}
	if o.Kind == Read {
		return fmt.Sprintf("%s read at %s: version %d, plan %s", span, o.Node, o.Version, o.Plan)
	}
	expects := fmt.Sprintf("on version %d", o.ExpectedVersion)
	if o.AnyVersion {
		expects = "on any version"
	}
	return fmt.Sprintf("%s %s %q at %s %s, number %d: %s, version %d", span, o.Kind, o.Change, o.Node, expects, o.AssignedVersion, o.Outcome, o.Version)
}
