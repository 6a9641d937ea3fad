package controller

import "sync"

// pendingCalls matches the answers of a core to the calls that wait for them, by token. Its zero value has no calls.
type pendingCalls[T any] struct {
	mu        sync.Mutex // guards the fields below; locked after the host's mutex
	lastToken uint64
	waiting   map[uint64]chan T
}

// begin adds a call and returns its token and the channel of its answer.
func (p *pendingCalls[T]) begin() (token uint64, reply <-chan T) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting == nil {
		p.waiting = map[uint64]chan T{}
	}
	answered := make(chan T, 1)
	p.lastToken++
	p.waiting[p.lastToken] = answered
	return p.lastToken, answered
}

// answer answers the call with the given token, if it still waits.
func (p *pendingCalls[T]) answer(token uint64, answer T) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if reply := p.waiting[token]; reply != nil {
		reply <- answer
		delete(p.waiting, token)
	}
}

// abandon removes a call whose answer nobody waits for any more.
func (p *pendingCalls[T]) abandon(token uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, token)
}
