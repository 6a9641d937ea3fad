package standin

import (
	"sort"

	"tidedeck/internal/clock"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Pull asks the weight store for weights.
type Pull struct {
	Server ident.Server `json:"server"`
	Key    ident.Key    `json:"key"`
	Size   int          `json:"size"`
}

// PullIn is a pull that came in.
type PullIn struct {
	Token uint64
	Pull  Pull
}

// PullOut says that a pull is done.
type PullOut struct{ Token uint64 }

// PullQuit says that whoever pulled is gone.
type PullQuit struct{ Token uint64 }

// Store is a stand-in weight store: its bandwidth is shared by all who pull.
type Store struct {
	Rate  float64 // size per second, shared
	Bear  int     // pulls that it bears at once
	pulls map[uint64]float64
	last  clock.Tick
	tally StoreTally
}

// StoreTally counts what the store bore.
type StoreTally struct {
	Pulls, Over uint64 // Over counts pulls that came in beyond what it bears
	Peak        int
}

// NewStore makes a weight store.
func NewStore(rate float64, bear int) *Store {
	return &Store{Rate: rate, Bear: bear, pulls: map[uint64]float64{}}
}

// Step takes one input and gives what is to be done.
func (s *Store) Step(now clock.Tick, in any) (out []any) {
	dt := now.Sub(s.last).Seconds()
	s.last = now
	if n := len(s.pulls); n > 0 {
		part := s.Rate * dt / float64(max(n, 1))
		for t := range s.pulls {
			s.pulls[t] -= part
		}
	}
	switch v := in.(type) {
	case PullIn:
		s.pulls[v.Token] = float64(v.Pull.Size)
		s.tally.Pulls++
		s.tally.Peak = max(s.tally.Peak, len(s.pulls))
		if len(s.pulls) > s.Bear {
			s.tally.Over++
		}
	case PullQuit:
		delete(s.pulls, v.Token)
	}
	var done []uint64
	for t, left := range s.pulls {
		if left <= 0 {
			done = append(done, t)
		}
	}
	sort.Slice(done, func(i, j int) bool { return done[i] < done[j] })
	for _, t := range done {
		delete(s.pulls, t)
		out = append(out, PullOut{t})
	}
	return out
}

// Counts gives the tally so far.
func (s *Store) Counts() StoreTally { return s.tally }

// Platform is the stand-in platform: it keeps the list of servers.
type Platform struct {
	list map[ident.Server]protocol.Listed
}

// NewPlatform makes a platform with a first list.
func NewPlatform(l ...protocol.Listed) *Platform {
	p := &Platform{list: map[ident.Server]protocol.Listed{}}
	for _, x := range l {
		p.list[x.ID] = x
	}
	return p
}

// Set lists a server, or lists it anew.
func (p *Platform) Set(x protocol.Listed) { p.list[x.ID] = x }

// Mark changes a server's state: live, leaving or gone. It tells whether the server is known.
func (p *Platform) Mark(id ident.Server, state string) bool {
	x, ok := p.list[id]
	x.State = state
	if ok {
		p.list[id] = x
	}
	return ok
}

// List gives the servers, by id.
func (p *Platform) List() []protocol.Listed {
	l := make([]protocol.Listed, 0, len(p.list))
	for _, x := range p.list {
		l = append(l, x)
	}
	sort.Slice(l, func(i, j int) bool { return l[i].ID < l[j].ID })
	return l
}
