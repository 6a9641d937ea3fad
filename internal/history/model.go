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
	done    *confirmed
}

// confirmed is a list of the changes taken, newest first. It is shared between states.
type confirmed struct {
	change  string
	version uint64
	digest  uint64 // of the whole list
	before  *confirmed
}

func (c *confirmed) sum() uint64 {
	if c == nil {
		return 0
	}
	return c.digest
}

// find gives the version under which a change was taken.
func (c *confirmed) find(change string) (uint64, bool) {
	for ; c != nil && change != ""; c = c.before {
		if c.change == change {
			return c.version, true
		}
	}
	return 0, false
}

func (c *confirmed) with(change string, version uint64) *confirmed {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, c.sum(), version, change)
	return &confirmed{change: change, version: version, digest: h.Sum64(), before: c}
}

func initial() state { return state{plan: DigestOf(nil)} }

// register is the sequential specification of the plan register.
type register struct {
	merge Merge
	plans map[Digest][]byte // bytes of the plans met so far, which patches go on
}

func newRegister(merge Merge) *register {
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
			return x.version == y.version && x.plan == y.plan && x.done.sum() == y.done.sum()
		},
		Hash: func(a any) uint64 {
			x := a.(state)
			return x.done.sum() ^ x.version
		},
	}
}

// step tells whether an operation may have had its outcome in a state, and what it leaves.
func (r *register) step(at state, op Operation) (bool, state) {
	if op.Kind == Read {
		return op.Plan == at.plan && (op.Unnumbered || op.Version == at.version), at
	}
	version, repeat := at.done.find(op.Change)
	next, applies := r.apply(at, op)
	switch op.Outcome {
	case Taken:
		if repeat {
			return op.Version == version, at
		}
		return applies && op.Version == next.version, next
	case Conflict:
		return !repeat && !op.Any && op.Expect != at.version && (op.Unnumbered || op.Version == at.version), at
	case Invalid:
		return !repeat, at
	}
	// An unclear change takes effect where it can. One that never does comes after all others, since it
	// has no end.
	if repeat || !applies {
		return true, at
	}
	return true, next
}

// apply gives the state after a change, if it can be taken.
func (r *register) apply(at state, op Operation) (state, bool) {
	next := state{version: at.version + 1, plan: at.plan}
	if op.Number != 0 {
		next.version = op.Number
	}
	if !op.Any && op.Expect != at.version || next.version <= at.version {
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
	next.done = at.done.with(op.Change, next.version)
	return next, true
}

func (r *register) intern(plan []byte) Digest {
	d := DigestOf(plan)
	if _, ok := r.plans[d]; !ok {
		r.plans[d] = plan
	}
	return d
}

// fault says why an operation does not fit a state.
func (r *register) fault(at state, op Operation) string {
	version, repeat := at.done.find(op.Change)
	switch {
	case op.Kind == Read && !op.Unnumbered && op.Version < at.version:
		return fmt.Sprintf("a stale read of version %d at %s", op.Version, op.Node)
	case op.Kind == Read:
		return fmt.Sprintf("a read at %s of what was not in force", op.Node)
	case repeat && op.Outcome == Taken:
		return fmt.Sprintf("change %q was confirmed as version %d and again as %d", op.Change, version, op.Version)
	case repeat:
		return fmt.Sprintf("change %q was taken as version %d, and its repeat refused", op.Change, version)
	case op.Outcome == Taken && !op.Any && op.Expect != at.version:
		return fmt.Sprintf("a change that goes on version %d was confirmed beside another", op.Expect)
	case op.Outcome == Taken:
		return fmt.Sprintf("a change was confirmed as version %d out of turn", op.Version)
	}
	if op.Expect != at.version {
		return fmt.Sprintf("a change was refused beside version %d, which is not in force", op.Version)
	}
	return "a change was refused as conflicting with the version that it goes on"
}
