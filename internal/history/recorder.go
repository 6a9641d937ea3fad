package history

import "sync"

// Recorder collects operations as clients invoke them and hear of their outcomes. It may be used
// from many goroutines.
type Recorder struct {
	mu         sync.Mutex
	operations []*Pending
}

// Pending is an operation whose outcome is not known yet.
type Pending struct {
	recorder  *Recorder
	operation Operation
	ended     bool // no later outcome counts
	dropped   bool // it surely had no effect, and told nothing
}

// Invoke notes that an operation begins at op.Invoke.
func (r *Recorder) Invoke(op Operation) *Pending {
	op.Outcome, op.Return = Unclear, never
	p := &Pending{recorder: r, operation: op}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.operations = append(r.operations, p)
	return p
}

func (p *Pending) end(set func(o *Operation)) {
	p.recorder.mu.Lock()
	defer p.recorder.mu.Unlock()
	if p.ended {
		return
	}
	p.ended = true
	set(&p.operation)
}

// Taken notes that a change was confirmed as a version.
func (p *Pending) Taken(at int64, version uint64) {
	p.end(func(o *Operation) { o.Outcome, o.Return, o.Version = Taken, at, version })
}

// Conflict notes that a change was refused because another version was in force.
func (p *Pending) Conflict(at int64, version uint64) {
	p.end(func(o *Operation) { o.Outcome, o.Return, o.Version = Conflict, at, version })
}

// Invalid notes that a change was refused for what it says.
func (p *Pending) Invalid(at int64) {
	p.end(func(o *Operation) { o.Outcome, o.Return = Invalid, at })
}

// Answered notes what a read gave.
func (p *Pending) Answered(at int64, version uint64, plan []byte) {
	p.end(func(o *Operation) { o.Outcome, o.Return, o.Version, o.Plan = Answered, at, version, DigestOf(plan) })
}

// AnsweredBytes notes what a read gave that told no version.
func (p *Pending) AnsweredBytes(at int64, plan []byte) {
	p.end(func(o *Operation) { o.Outcome, o.Return, o.Unnumbered, o.Plan = Answered, at, true, DigestOf(plan) })
}

// Unclear notes that the client will never learn the outcome.
func (p *Pending) Unclear() { p.end(func(*Operation) {}) }

// Dropped notes that the client was told that nothing happened.
func (p *Pending) Dropped() {
	p.end(func(*Operation) { p.dropped = true })
}

// History gives the operations so far: those without effect and reads without an answer are left out.
func (r *Recorder) History() []Operation {
	r.mu.Lock()
	defer r.mu.Unlock()
	var l []Operation
	for _, p := range r.operations {
		if p.dropped || p.operation.Kind == Read && p.operation.Outcome != Answered {
			continue
		}
		l = append(l, p.operation)
	}
	return l
}

// Before gives what a history tells up to a moment: later operations are left out, and changes whose
// outcome came later are unclear.
func Before(operations []Operation, at int64) []Operation {
	var l []Operation
	for _, o := range operations {
		if o.Invoke >= at || o.Kind == Read && o.Return >= at {
			continue
		}
		if o.Return >= at {
			o.Outcome, o.Return, o.Version = Unclear, never, 0
		}
		l = append(l, o)
	}
	return l
}
