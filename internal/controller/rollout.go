package controller

import (
	"tidedeck/internal/clock"
	"tidedeck/internal/ident"
)

// rollout follows one configuration on its way to the routers, for the log: how many had to take it in, how many leases
// ran out over it, and how long it took until it was in force everywhere.
type rollout struct {
	epoch  ident.Epoch
	began  clock.Tick
	links  int
	lapsed int
	open   bool
}

// beginRollout notes that a configuration goes out to every link.
func (c *Core) beginRollout(epoch ident.Epoch) {
	if c.rollout.open {
		c.noteRollout("a newer configuration overtakes one that routers have not all taken in")
	}
	c.rollout = rollout{epoch: epoch, began: c.now, links: len(c.links), open: true}
}

// watchRollout tells once no link is left that may still go by an older configuration.
func (c *Core) watchRollout() {
	if c.rollout.open && c.behind() == 0 {
		c.rollout.open = false
		c.noteRollout("the configuration is in force at every router, or the router's lease ran out")
	}
}

// behind counts the links that have not acknowledged the newest configuration that they were sent.
func (c *Core) behind() (n int) {
	for _, l := range c.links {
		if l.owesDesired() {
			n++
		}
	}
	return n
}

func (l *link) owesDesired() bool {
	for _, i := range l.items {
		if i.Desired != nil {
			return true
		}
	}
	return false
}

func (c *Core) noteRollout(text string) {
	c.note(text, field("epoch", c.rollout.epoch), field("took_ms", c.now.Sub(c.rollout.began).Milliseconds()), field("routers", c.rollout.links),
		field("lapsed", c.rollout.lapsed), field("behind", c.behind()), field("term", c.duty.num))
}
