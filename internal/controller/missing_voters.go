package controller

import (
	"fmt"
	"strings"

	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
	"tidedeck/internal/voterset"
)

// Reports to operators which voters a core without a majority waits for. This is informational only and has no effect on
// decisions.

// missingVoters describes which voters a core without a majority waits for.
type missingVoters struct {
	voters      []ident.Node // the newest set that this node has seen
	prior       []ident.Node // the previous set, while both are in force
	unavailable []ident.Node // voters of both sets that don't answer or have lost their disks
	chosen      bool         // the newest set is known to be chosen
}

// missingMajority reports whether the answering voters are not a majority, and which voters are missing.
func (c *Core) missingMajority() (missingVoters, bool) {
	set := c.latest()
	if set == nil {
		return missingVoters{}, false
	}
	answering := map[ident.Node]ident.Incarnation{c.o.Self.ID: c.acceptor.inc}
	for id, s := range c.register.states {
		if c.answeredWithin(id, voterFreshRounds) {
			answering[id] = s.state.Incarnation
		}
	}
	if voterset.Majority(*set, answering) {
		return missingVoters{}, false
	}
	missing := missingVoters{voters: voterIDs(set.Voters), prior: voterIDs(set.PriorVoters), chosen: set == c.register.known}
	seen := map[ident.Node]bool{}
	for _, v := range append(append([]protocol.Voter{}, set.Voters...), set.PriorVoters...) {
		if inc, answers := answering[v.ID]; !seen[v.ID] && (!answers || inc != v.Incarnation) {
			missing.unavailable = append(missing.unavailable, v.ID)
		}
		seen[v.ID] = true
	}
	return missing, true
}

func voterIDs(voters []protocol.Voter) (ids []ident.Node) {
	for _, v := range voters {
		ids = append(ids, v.ID)
	}
	return ids
}

// String describes for operators what the core waits for.
func (m missingVoters) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "a majority of the voters %v", m.voters)
	if len(m.prior) > 0 {
		fmt.Fprintf(&text, " and a majority of the previous voters %v", m.prior)
	}
	fmt.Fprintf(&text, " must answer: %v do not answer or have lost their disks", m.unavailable)
	if !m.chosen {
		text.WriteString(" (this set is not confirmed)")
	}
	return text.String()
}

// logMissingVoters logs changes in what the core waits for. A voter counts as missing once it has been silent for
// longer than voterFreshRounds.
func (c *Core) logMissingVoters() {
	missing, lacks := c.missingMajority()
	c.tally.VotersMissing = len(missing.unavailable)
	text := ""
	if lacks {
		text = missing.String()
	}
	if text == c.register.waitsFor {
		return
	}
	c.register.waitsFor = text
	switch {
	case !lacks:
		c.logEvent("a majority of the voters answers again")
	default:
		c.logError("the core cannot go on: " + text)
	}
}
