package history

import (
	"fmt"
	"hash/fnv"

	"github.com/anishathalye/porcupine"
)

// state is the register between two operations.
type state struct {
	version uint64
	plan    Digest
	changes *changeList
}

// changeList is an immutable list of the confirmed changes, newest first. States share its tails.
type changeList struct {
	change   string
	version  uint64
	listHash uint64 // of the whole list
	rest     *changeList
}

func (c *changeList) hash() uint64 {
	if c == nil {
		return 0
	}
	return c.listHash
}

// find returns the version under which a change was confirmed.
func (c *changeList) find(change string) (uint64, bool) {
	for ; c != nil && change != ""; c = c.rest {
		if c.change == change {
			return c.version, true
		}
	}
	return 0, false
}

func (c *changeList) prepend(change string, version uint64) *changeList {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, c.hash(), version, change)
	return &changeList{change: change, version: version, listHash: h.Sum64(), rest: c}
}

func initial() state { return state{plan: DigestOf(nil)} }

// register is the sequential specification of the plan register.
type register struct {
	merge MergeFunc
	plans map[Digest][]byte // contents of all plans seen so far, needed to apply patches
}

func newRegister(merge MergeFunc) *register {
	return &register{merge: merge, plans: map[Digest][]byte{DigestOf(nil): nil}}
}

func (r *register) porcupine() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return initial() },
		Step: func(at, input, _ any) (bool, any) {
			ok, next := r.step(at.(state), input.(Operation))
			return ok, next
		},
		Equal: func(a, b any) bool {
			x, y := a.(state), b.(state)
			return x.version == y.version && x.plan == y.plan && x.changes.hash() == y.changes.hash()
		},
		Hash: func(a any) uint64 {
			x := a.(state)
			return x.changes.hash() ^ x.version
		},
	}
}

// step reports whether an operation can have its outcome in a state, and returns the state after it.
func (r *register) step(at state, op Operation) (bool, state) {
	if op.Kind == Read {
		return op.Plan == at.plan && (op.VersionUnknown || op.Version == at.version), at
	}
	version, repeat := at.changes.find(op.Change)
	next, applies := r.apply(at, op)
	switch op.Outcome {
	case Taken:
		if repeat {
			return op.Version == version, at
		}
		return applies && op.Version == next.version, next
	case Conflict:
		return !repeat && !op.AnyVersion && op.ExpectedVersion != at.version && (op.VersionUnknown || op.Version == at.version), at
	case Invalid:
		return !repeat, at
	}
	// An unclear change takes effect where possible. An unclear change that never takes effect can be ordered after all
	// other operations, since it has no return time.
	if repeat || !applies {
		return true, at
	}
	return true, next
}

// apply returns the state after a change, and whether the change can be confirmed.
func (r *register) apply(at state, op Operation) (state, bool) {
	next := state{version: at.version + 1, plan: at.plan}
	if op.AssignedVersion != 0 {
		next.version = op.AssignedVersion
	}
	if !op.AnyVersion && op.ExpectedVersion != at.version || next.version <= at.version {
		return at, false
	}
	switch op.Kind {
	case Put:
		next.plan = r.intern(op.Body)
	case Patch:
		plan, ok := r.merge(r.plans[at.plan], op.Body)
		if !ok {
			return at, false
		}
		next.plan = r.intern(plan)
	}
	next.changes = at.changes.prepend(op.Change, next.version)
	return next, true
}

func (r *register) intern(plan []byte) Digest {
	d := DigestOf(plan)
	if _, ok := r.plans[d]; !ok {
		r.plans[d] = plan
	}
	return d
}

// explainMismatch describes why an operation does not fit a state.
func (r *register) explainMismatch(at state, op Operation) string {
	version, repeat := at.changes.find(op.Change)
	switch {
	case op.Kind == Read && !op.VersionUnknown && op.Version < at.version:
		return fmt.Sprintf("a stale read of version %d at %s", op.Version, op.Node)
	case op.Kind == Read:
		return fmt.Sprintf("a read at %s of a plan that was not in force", op.Node)
	case repeat && op.Outcome == Taken:
		return fmt.Sprintf("change %q was confirmed as version %d and again as %d", op.Change, version, op.Version)
	case repeat:
		return fmt.Sprintf("change %q was confirmed as version %d, and its repeat refused", op.Change, version)
	case op.Outcome == Taken && !op.AnyVersion && op.ExpectedVersion != at.version:
		return fmt.Sprintf("a change based on version %d was confirmed in addition to another", op.ExpectedVersion)
	case op.Outcome == Taken:
		return fmt.Sprintf("a change was confirmed as version %d out of order", op.Version)
	}
	if op.ExpectedVersion != at.version {
		return fmt.Sprintf("a change was refused because of version %d, which is not in force", op.Version)
	}
	return "a change was refused as conflicting with the version that it expected"
}
