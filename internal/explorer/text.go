package explorer

import (
	"fmt"
	"strings"

	"tidedeck/internal/controller"
	"tidedeck/internal/failure"
	"tidedeck/internal/protocol"
)

func ballotText(b protocol.Ballot) string { return fmt.Sprintf("%d.%s", b.N, b.By) }

func votersText(voters []protocol.Voter) string {
	var texts []string
	for _, v := range voters {
		texts = append(texts, fmt.Sprintf("%s/%d", v.ID, v.Incarnation))
	}
	return strings.Join(texts, " ")
}

// valueText formats the fields that distinguish a value from others.
func valueText(d *protocol.Desired) string {
	if d == nil {
		return "nothing"
	}
	text := fmt.Sprintf("epoch %d plan %q shape %d voters {%s}", d.Epoch, d.Plan, d.VoterSet, votersText(d.Voters))
	if len(d.PriorVoters) > 0 {
		text += fmt.Sprintf(" after {%s}", votersText(d.PriorVoters))
	}
	return text
}

func envelopeText(e protocol.Envelope) string {
	header := fmt.Sprintf("%s %s>%s", protocol.Kind(e.Body), e.From.ID, e.To.ID)
	switch b := e.Body.(type) {
	case protocol.Prepare:
		return fmt.Sprintf("%s round %d ballot %s", header, b.Round, ballotText(b.Ballot))
	case protocol.Promise:
		return fmt.Sprintf("%s round %d ok %t inc %d promised %s accepted %s %s", header, b.Round, b.OK, b.Incarnation, ballotText(b.Promised), ballotText(b.Accepted), valueText(b.Value))
	case protocol.Accept:
		return fmt.Sprintf("%s round %d ballot %s %s", header, b.Round, ballotText(b.Ballot), valueText(&b.Value))
	case protocol.Accepted:
		return fmt.Sprintf("%s round %d ok %t inc %d promised %s", header, b.Round, b.OK, b.Incarnation, ballotText(b.Promised))
	case protocol.ForwardChange:
		return fmt.Sprintf("%s term %d change %s", header, b.Term, b.ChangeID)
	case protocol.ForwardReply:
		return fmt.Sprintf("%s not owner %t %s epoch %d", header, b.NotOwner, b.Kind, b.Epoch)
	case protocol.Query:
		return fmt.Sprintf("%s round %d claim %t duty %d", header, b.Round, b.Claim, b.Term)
	case protocol.State:
		return fmt.Sprintf("%s round %d inc %d granted %t duty %d owner %s accepted %s shape %d", header, b.Round, b.Incarnation, b.Granted, b.Term, b.Owner.ID, ballotText(b.Accepted), b.VoterSet)
	case protocol.Release:
		return fmt.Sprintf("%s duty %d next %s", header, b.Term, b.Successor)
	}
	return header
}

func receiptText(r controller.Receipt) string {
	kind := r.Kind
	if kind == failure.None {
		kind = "ok"
	}
	return fmt.Sprintf("request %d: %s, epoch %d %s", r.Token, kind, r.Epoch, r.Why)
}
