package simulator

import "strings"

// isolateWithRouters cuts a core node and all routers' agents off from the other core nodes, and returns the name of one of
// these.
func (w *World) isolateWithRouters(owner string) (other string) {
	for _, p := range w.controllers() {
		if p.name == owner {
			continue
		}
		w.Cut(owner, p.name, true)
		for _, name := range w.procNames {
			if strings.HasPrefix(name, "agent-") {
				w.Cut(name, p.name, true)
			}
		}
		other = p.name
	}
	return other
}
