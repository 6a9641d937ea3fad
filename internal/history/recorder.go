package history

import "sync"

// Recorder records operations when clients invoke them and when they receive the outcomes. It is safe for concurrent use.
type Recorder struct {
	mu         sync.Mutex
	operations []*PendingOperation
}

// PendingOperation is an operation whose outcome is not known yet.
type PendingOperation struct {
	recorder  *Recorder
	operation Operation
	finished  bool // later outcomes are ignored
	noEffect  bool // the operation certainly had no effect and returned no information
}

// Invoke records an operation that begins at op.Invoke.
func (r *Recorder) Invoke(op Operation) *PendingOperation {
	op.Outcome, op.Return = Unclear, neverReturned
	p := &PendingOperation{recorder: r, operation: op}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.operations = append(r.operations, p)
	return p
}

func (p *PendingOperation) finish(set func(o *Operation)) {
	p.recorder.mu.Lock()
	defer p.recorder.mu.Unlock()
	if p.finished {
		return
	}
	p.finished = true
	set(&p.operation)
}

// Taken records that a change was confirmed under a version.
func (p *PendingOperation) Taken(at int64, version uint64) {
	p.finish(func(o *Operation) { o.Outcome, o.Return, o.Version = Taken, at, version })
}

// Conflict records that a change was refused because another version was in force.
func (p *PendingOperation) Conflict(at int64, version uint64) {
	p.finish(func(o *Operation) { o.Outcome, o.Return, o.Version = Conflict, at, version })
}

// Invalid records that a change was refused because of its content.
func (p *PendingOperation) Invalid(at int64) {
	p.finish(func(o *Operation) { o.Outcome, o.Return = Invalid, at })
}

// Answered records the result of a read.
func (p *PendingOperation) Answered(at int64, version uint64, plan []byte) {
	p.finish(func(o *Operation) { o.Outcome, o.Return, o.Version, o.Plan = Answered, at, version, DigestOf(plan) })
}

// AnsweredBytes records the result of a read that returned no version.
func (p *PendingOperation) AnsweredBytes(at int64, plan []byte) {
	p.finish(func(o *Operation) { o.Outcome, o.Return, o.VersionUnknown, o.Plan = Answered, at, true, DigestOf(plan) })
}

// Unclear records that the client will never learn the outcome.
func (p *PendingOperation) Unclear() { p.finish(func(*Operation) {}) }

// NoEffect records that the client learned that the operation had no effect.
func (p *PendingOperation) NoEffect() {
	p.finish(func(*Operation) { p.noEffect = true })
}

// Operations returns the operations recorded so far, without those that had no effect and reads without an answer.
func (r *Recorder) Operations() []Operation {
	r.mu.Lock()
	defer r.mu.Unlock()
	var recorded []Operation
	for _, p := range r.operations {
		if p.noEffect || p.operation.Kind == Read && p.operation.Outcome != Answered {
			continue
		}
		recorded = append(recorded, p.operation)
	}
	return recorded
}

// Prefix returns the prefix of a history that was known at a point in time: operations invoked later are left out, and
// the outcome of changes that returned later is unclear.
func Prefix(operations []Operation, at int64) []Operation {
	var prefix []Operation
	for _, o := range operations {
		if o.Invoke >= at || o.Kind == Read && o.Return >= at {
			continue
		}
		if o.Return >= at {
			o.Outcome, o.Return, o.Version = Unclear, neverReturned, 0
		}
		prefix = append(prefix, o)
	}
	return prefix
}
