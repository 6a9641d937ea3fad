package controller

import (
	"cmp"
	"slices"

	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
)

// fleet is the owner's servers in the order of their names, and by what they hold, so that whoever asks for the replicas of a
// key looks at these alone.
type serverIndex struct {
	ordered []*server
	byKey   map[ident.Key][]*server // in the order of their names
}

func newServerIndex() serverIndex { return serverIndex{byKey: map[ident.Key][]*server{}} }

func findServer(l []*server, id ident.Server) (at int, found bool) {
	return slices.BinarySearchFunc(l, id, func(s *server, id ident.Server) int { return cmp.Compare(s.ID, id) })
}

// withServer puts a server in its place in an ordered list, if it is not there.
func insertServer(l []*server, s *server) []*server {
	at, found := findServer(l, s.ID)
	if found {
		l[at] = s
		return l
	}
	return slices.Insert(l, at, s)
}

// withoutServer takes a server out of an ordered list.
func deleteServer(l []*server, id ident.Server) []*server {
	if at, found := findServer(l, id); found {
		return slices.Delete(l, at, at+1)
	}
	return l
}

func (f *serverIndex) addHolder(s *server, key ident.Key) {
	f.byKey[key] = insertServer(f.byKey[key], s)
}

func (f *serverIndex) removeHolder(s *server, key ident.Key) {
	if l := deleteServer(f.byKey[key], s.ID); len(l) > 0 {
		f.byKey[key] = l
	} else {
		delete(f.byKey, key)
	}
}

// addServer takes a server into the owner's view.
func (c *Core) addServer(s *server) {
	c.servers[s.ID] = s
	c.fleet.ordered = insertServer(c.fleet.ordered, s)
	for key := range s.spots {
		c.fleet.addHolder(s, key)
	}
}

// removeServer takes a server out of the owner's view.
func (c *Core) removeServer(id ident.Server) {
	s := c.servers[id]
	if s == nil {
		return
	}
	for key := range s.spots {
		c.fleet.removeHolder(s, key)
	}
	delete(c.servers, id)
	c.fleet.ordered = deleteServer(c.fleet.ordered, id)
}

// putSpot has a server hold a key, or be about to.
func (c *Core) putSpot(s *server, p *spot) {
	s.spots[p.key] = p
	c.fleet.addHolder(s, p.key)
}

// removeSpot has a server hold a key no longer.
func (c *Core) removeSpot(s *server, key ident.Key) {
	delete(s.spots, key)
	c.fleet.removeHolder(s, key)
}

// holding lists the servers that have a key in whatever stage, in the order of their names: for a whole service, all of them.
func (c *Core) holding(key ident.Key) []*server {
	if key.Plain() {
		return c.fleet.ordered
	}
	return c.fleet.byKey[key]
}

// diskIndex knows, for each key, the enrolled servers that have it on their own disk: surely (true) or likely.
type diskIndex map[ident.Key]map[ident.Server]bool

// set notes that a server has a key on its own disk.
func (x diskIndex) set(server ident.Server, key ident.Key, sure bool) {
	if x[key] == nil {
		x[key] = map[ident.Server]bool{}
	}
	x[key][server] = sure
}

// forget takes out all that a server has.
func (x diskIndex) removeServer(server ident.Server, keys map[ident.Key]bool) {
	for key := range keys {
		delete(x[key], server)
		if len(x[key]) == 0 {
			delete(x, key)
		}
	}
}

// noteOnDisk notes that an enrolled server has a key on its own disk, surely or likely.
func (c *Core) noteOnDisk(e *enrolled, key ident.Key, sure bool) {
	if was, known := e.had[key]; known && was == sure {
		return
	}
	e.had[key] = sure
	c.disks.set(e.ID, key, sure)
}

// enlist takes in a server that announced itself, in place of what was known under its name.
func (c *Core) enlist(e *enrolled) {
	c.delist(e.ID)
	c.roll[e.ID] = e
	for key, sure := range e.had {
		c.disks.set(e.ID, key, sure)
	}
}

// delist forgets a server that announced itself.
func (c *Core) delist(id ident.Server) {
	if e := c.roll[id]; e != nil {
		c.disks.removeServer(id, e.had)
		delete(c.roll, id)
	}
}

// onDiskOf lists the servers in the owner's view that surely have a key on their own disk, in the order of their names.
func (c *Core) serversWithOnDisk(key ident.Key) []*server {
	var l []*server
	for _, id := range generic.SortedKeys(c.disks[key]) {
		if s := c.servers[id]; s != nil && c.disks[key][id] {
			l = append(l, s)
		}
	}
	return l
}
