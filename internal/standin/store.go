package standin

import (
	"sort"

	"tidedeck/internal/clock"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Pull requests weights from the weight store.
type Pull struct {
	Server ident.Server `json:"server"`
	Key    ident.Key    `json:"key"`
	Size   int          `json:"size"`
}

// PullIn is a received pull.
type PullIn struct {
	Token uint64
	Pull  Pull
}

// PullOut reports that a pull is complete.
type PullOut struct{ Token uint64 }

// PullQuit reports that the sender of a pull has disconnected.
type PullQuit struct{ Token uint64 }

// Store is a stand-in weight store. All pulls share its bandwidth.
type Store struct {
	Rate     float64            // size per second, shared by all pulls
	MaxPulls int                // maximum number of concurrent pulls
	pulls    map[uint64]float64 // size still to transfer, by token
	lastStep clock.Instant
	tally    StoreTally
}

// StoreTally holds counters of the store.
type StoreTally struct {
	Pulls, Over uint64 // Over counts pulls beyond the maximum number
	Peak        int
}

// NewStore creates a weight store.
func NewStore(rate float64, bear int) *Store {
	return &Store{Rate: rate, MaxPulls: bear, pulls: map[uint64]float64{}}
}

// Step processes one input and returns the outputs to carry out.
func (s *Store) Step(now clock.Instant, in any) (out []any) {
	elapsed := now.Sub(s.lastStep).Seconds()
	s.lastStep = now
	if n := len(s.pulls); n > 0 {
		share := s.Rate * elapsed / float64(max(n, 1))
		for t := range s.pulls {
			s.pulls[t] -= share
		}
	}
	switch v := in.(type) {
	case PullIn:
		s.pulls[v.Token] = float64(v.Pull.Size)
		s.tally.Pulls++
		s.tally.Peak = max(s.tally.Peak, len(s.pulls))
		if len(s.pulls) > s.MaxPulls {
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

// Counts returns the counters.
func (s *Store) Counts() StoreTally { return s.tally }

// Platform is the stand-in platform. It maintains the list of servers.
type Platform struct {
	list map[ident.Server]protocol.ListedServer
}

// NewPlatform creates a platform with an initial list of servers.
func NewPlatform(servers ...protocol.ListedServer) *Platform {
	p := &Platform{list: map[ident.Server]protocol.ListedServer{}}
	for _, server := range servers {
		p.list[server.ID] = server
	}
	return p
}

// Set adds a server to the list or replaces its entry.
func (p *Platform) Set(server protocol.ListedServer) { p.list[server.ID] = server }

// Mark changes a server's state to live, leaving or gone. It reports whether the server is known.
func (p *Platform) Mark(id ident.Server, state string) bool {
	server, ok := p.list[id]
	server.State = state
	if ok {
		p.list[id] = server
	}
	return ok
}

// List returns the servers, sorted by id.
func (p *Platform) List() []protocol.ListedServer {
	servers := make([]protocol.ListedServer, 0, len(p.list))
	for _, server := range p.list {
		servers = append(servers, server)
	}
	sort.Slice(servers, func(i, j int) bool { return servers[i].ID < servers[j].ID })
	return servers
}
