package controller

import (
	"fmt"

	"tidedeck/internal/clock"
	"tidedeck/internal/protocol"
)

// Reports to operators why no core forms, which has no effect on decisions.

// formingReportAfter is for how long a node must know of no core before it reports what it waits for: longer than a core
// takes to form when nothing is missing.
const formingReportAfter = clock.Span(4e9)

// formingWait returns what a node without a core waits for, once it has known of none for formingReportAfter, and how many
// seeds are missing.
func (c *Core) formingWait() (text string, missing int) {
	if c.latest() != nil || c.now.Sub(c.register.coreUnknownSince) < formingReportAfter {
		return "", 0
	}
	seeds, rule := c.o.Seeds, "every seed must answer with an empty disk"
	accepts := c.isFresh
	switch {
	case c.isFounder():
		seeds = c.acceptor.foundingSeeds
		rule = fmt.Sprintf("%d of the %d seeds of the first start must answer with the disks of that start", len(seeds)/2+1, len(seeds))
		accepts = func(s stateReport) bool { return c.isFresh(s) && isReportedFounder(s) }
	case c.o.CoreExists:
		rule = "a node of the existing core must answer, since this node's disk is empty and this is no first start"
	}
	answering := c.blankSeeds(seeds, accepts)
	var silent []string
	for _, p := range seeds {
		if !answersAt(answering, p.Addr) {
			silent = append(silent, p.Addr)
		}
	}
	return fmt.Sprintf("%s: no such answer from %v. If the disks there are lost for good, form a core by 'tidedeckctl core form' at one seed", rule, silent), len(silent)
}

func answersAt(voters []protocol.Voter, addr string) bool {
	for _, v := range voters {
		if v.Addr == addr {
			return true
		}
	}
	return false
}

// logForming logs changes in what a node without a core waits for.
func (c *Core) logForming() {
	r := &c.register
	if c.latest() != nil || r.coreUnknownSince == 0 {
		r.coreUnknownSince = c.now
	}
	text, missing := c.formingWait()
	c.tally.SeedsMissing = missing
	if text == r.formingWaitsFor {
		return
	}
	r.formingWaitsFor = text
	if text != "" {
		c.logError("no core has formed: " + text)
	}
}
