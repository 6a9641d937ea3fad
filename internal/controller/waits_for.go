package controller

import (
	"fmt"
	"strings"

	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
	"tidedeck/internal/voterset"
)

// What a core waits for that takes no change and has no owner, in words for operators: the voters of which a majority must
// answer again. Nothing here decides anything.

// missing is what a core lacks to go on.
type missing struct {
	voters    []ident.Node // of the newest set that this node has seen
	prior     []ident.Node // of the set before it, while both rule
	silent    []ident.Node // those of both that do not answer, or that lost their disks
	confirmed bool         // that set is known to be chosen
}

// lacksVoters tells whether the voters that answer are no majority, and what is missing then.
func (c *Core) lacksVoters() (missing, bool) {
	set := c.latest()
	if set == nil {
		return missing{}, false
	}
	there := map[ident.Node]ident.Inc{c.o.Me.ID: c.vote.inc}
	for id, s := range c.reg.lives {
		if c.answered(id, voterFresh) {
			there[id] = s.state.Inc
		}
	}
	if voterset.Majority(*set, there) {
		return missing{}, false
	}
	m := missing{voters: idsOf(set.Voters), prior: idsOf(set.Prior), confirmed: set == c.reg.known}
	seen := map[ident.Node]bool{}
	for _, v := range append(append([]protocol.Voter{}, set.Voters...), set.Prior...) {
		if inc, answers := there[v.ID]; !seen[v.ID] && (!answers || inc != v.Inc) {
			m.silent = append(m.silent, v.ID)
		}
		seen[v.ID] = true
	}
	return m, true
}

func idsOf(l []protocol.Voter) (ids []ident.Node) {
	for _, v := range l {
		ids = append(ids, v.ID)
	}
	return ids
}

// String says what the core waits for.
func (m missing) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "a majority of the voters %v", m.voters)
	if len(m.prior) > 0 {
		fmt.Fprintf(&b, " and one of those before them, %v,", m.prior)
	}
	fmt.Fprintf(&b, " must answer: %v do not, or have lost their disks", m.silent)
	if !m.confirmed {
		b.WriteString(" (this set was seen and is not confirmed)")
	}
	return b.String()
}

// watchMissing logs what the core waits for when that changes, once it has waited for as long as a voter may be silent.
func (c *Core) watchMissing() {
	m, lacks := c.lacksVoters()
	c.tally.VotersMissing = len(m.silent)
	text := ""
	if lacks {
		text = m.String()
	}
	if text == c.reg.waitsFor {
		return
	}
	c.reg.waitsFor = text
	switch {
	case !lacks:
		c.note("the core waits for no voter any more")
	case c.reg.known != nil:
		c.oops("the core cannot go on: " + text)
	}
}
