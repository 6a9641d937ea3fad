// Package history records what operators and readers saw of the versioned plan register, and checks
// that it is linearizable: that every answer fits one order of all operations, in which each takes
// effect at one moment between its invocation and its return.
package history

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
)

// Kind is what an operation asks of the register.
type Kind int

// The kinds of operations.
const (
	Put   Kind = iota // replaces the plan by the body
	Patch             // merges the body into the plan
	Touch             // changes something beside the plan, under a new version
	Read
)

var kindNames = map[Kind]string{Put: "put", Patch: "patch", Touch: "touch", Read: "read"}

func (k Kind) String() string { return kindNames[k] }

// Outcome is what the client was told.
type Outcome int

// The outcomes of an operation.
const (
	Unclear  Outcome = iota // it may take effect at any later time, or never
	Taken                   // a change was confirmed
	Conflict                // a change was refused: another version was in force
	Invalid                 // a change was refused for what it says
	Answered                // a read was answered
)

var outcomeNames = map[Outcome]string{Unclear: "unclear", Taken: "taken", Conflict: "conflict", Invalid: "invalid", Answered: "answered"}

func (o Outcome) String() string { return outcomeNames[o] }

// Digest names the bytes of a plan.
type Digest string

// digestLength is how many bytes of the hash a Digest keeps.
const digestLength = 8

// DigestOf digests a plan's bytes.
func DigestOf(plan []byte) Digest {
	sum := sha256.Sum256(plan)
	return Digest(hex.EncodeToString(sum[:digestLength]))
}

// never is the return time of an operation whose end is not known.
const never = math.MaxInt64

// Operation is one attempt of a client at one node.
type Operation struct {
	Kind   Kind
	Node   string
	Change string // id of the change; a repeat has the same
	Expect uint64 // the version that the change goes on
	Any    bool   // no version is expected
	Number uint64 // the version that the client gives the change; zero counts on
	Body   []byte // the plan or the patch

	Outcome    Outcome
	Version    uint64 // that was told
	Unnumbered bool   // no version was told
	Plan       Digest // that was read

	Invoke, Return int64
}

// String describes an operation for people.
func (o Operation) String() string {
	span := fmt.Sprintf("%.3fs..%.3fs", float64(o.Invoke)/1e9, float64(o.Return)/1e9)
	if o.Return == never {
		span = fmt.Sprintf("%.3fs..", float64(o.Invoke)/1e9)
	}
	if o.Kind == Read {
		return fmt.Sprintf("%s read at %s: version %d, plan %s", span, o.Node, o.Version, o.Plan)
	}
	expects := fmt.Sprintf("on version %d", o.Expect)
	if o.Any {
		expects = "on any version"
	}
	return fmt.Sprintf("%s %s %q at %s %s, number %d: %s, version %d", span, o.Kind, o.Change, o.Node, expects, o.Number, o.Outcome, o.Version)
}
