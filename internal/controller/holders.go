package controller

import (
	"cmp"
	"slices"

	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
)

// serverIndex lists the leader's servers ordered by ID, and by the keys they hold, so that a look-up of a key's
// replicas reads only these servers.
type serverIndex struct {
	sorted []*server
	byKey  map[ident.Key][]*server // ordered by ID
}

func newServerIndex() serverIndex { return serverIndex{byKey: map[ident.Key][]*server{}} }

// findServer returns the position of a server in an ordered list, and whether the list contains it.
func findServer(l []*server, id ident.Server) (at int, found bool) {
	return slices.BinarySearchFunc(l, id, func(s *server, id ident.Server) int { return cmp.Compare(s.ID, id) })
}

// insertServer inserts a server into an ordered list, or replaces the entry with its ID.
func insertServer(l []*server, s *server) []*server {
	at, found := findServer(l, s.ID)
	if found {
		l[at] = s
		return l
	}
	return slices.Insert(l, at, s)
}

// deleteServer removes a server from an ordered list.
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

// addServer adds a server to the leader's view.
func (c *Core) addServer(s *server) {
	c.servers[s.ID] = s
	c.serverIndex.sorted = insertServer(c.serverIndex.sorted, s)
	for key := range s.replicas {
		c.serverIndex.addHolder(s, key)
	}
}

// removeServer removes a server from the leader's view.
func (c *Core) removeServer(id ident.Server) {
	s := c.servers[id]
	if s == nil {
		return
	}
	for key := range s.replicas {
		c.serverIndex.removeHolder(s, key)
	}
	delete(c.servers, id)
	c.serverIndex.sorted = deleteServer(c.serverIndex.sorted, id)
}

// putReplica records that a server holds a key, or is about to.
func (c *Core) putReplica(s *server, p *modelReplica) {
	s.replicas[p.key] = p
	c.serverIndex.addHolder(s, p.key)
}

// removeReplica records that a server no longer holds a key.
func (c *Core) removeReplica(s *server, key ident.Key) {
	delete(s.replicas, key)
	c.serverIndex.removeHolder(s, key)
}

// holdersOf returns the servers that have a key in any stage, ordered by ID; for a key that stands for a whole
// service, all servers.
func (c *Core) holdersOf(key ident.Key) []*server {
	if key.IsWholeService() {
		return c.serverIndex.sorted
	}
	return c.serverIndex.byKey[key]
}

// diskIndex lists, for each key, the enrolled servers that have it on their own disk: certainly (true) or
// probably (false).
type diskIndex map[ident.Key]map[ident.Server]bool

// set records that a server has a key on its own disk.
func (x diskIndex) set(server ident.Server, key ident.Key, sure bool) {
	if x[key] == nil {
		x[key] = map[ident.Server]bool{}
	}
	x[key][server] = sure
}

// removeServer removes all keys of a server.
func (x diskIndex) removeServer(server ident.Server, keys map[ident.Key]bool) {
	for key := range keys {
		delete(x[key], server)
		if len(x[key]) == 0 {
			delete(x, key)
		}
	}
}

// noteOnDisk records that an enrolled server has a key on its own disk, certainly or probably.
func (c *Core) noteOnDisk(e *enrolled, key ident.Key, sure bool) {
	if was, known := e.onDisk[key]; known && was == sure {
		return
	}
	e.onDisk[key] = sure
	c.disks.set(e.ID, key, sure)
}

// addEnrolled adds a server that announced itself, in place of any earlier entry with its ID.
func (c *Core) addEnrolled(e *enrolled) {
	c.removeEnrolled(e.ID)
	c.enrolledServers[e.ID] = e
	for key, sure := range e.onDisk {
		c.disks.set(e.ID, key, sure)
	}
}

// removeEnrolled removes a server that announced itself.
func (c *Core) removeEnrolled(id ident.Server) {
	if e := c.enrolledServers[id]; e != nil {
		c.disks.removeServer(id, e.onDisk)
		delete(c.enrolledServers, id)
	}
}

// serversWithOnDisk returns the servers in the leader's view that certainly have a key on their own disk,
// ordered by ID.
func (c *Core) serversWithOnDisk(key ident.Key) []*server {
	var l []*server
	for _, id := range generic.SortedKeys(c.disks[key]) {
		if s := c.servers[id]; s != nil && c.disks[key][id] {
			l = append(l, s)
		}
	}
	return l
}
