package explorer

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"tidedeck/internal/ident"
)

// ActionKind is the type of an action.
type ActionKind string

// The action kinds. Their values are the first words of the lines of a written run.
const (
	Deliver     ActionKind = "deliver"      // delivers one message
	Duplicate   ActionKind = "duplicate"    // delivers one message and leaves a copy in flight
	Drop        ActionKind = "drop"         // loses one message
	Interrupt   ActionKind = "interrupt"    // delivers one message; its receiver loses power before its disk is synced
	DeliverTo   ActionKind = "deliver-to"   // delivers all messages in flight to a node, in the order of sending
	DropTo      ActionKind = "drop-to"      // loses all messages in flight to a node
	InterruptAt ActionKind = "interrupt-at" // as deliver-to, but the node loses power before its disk is synced
	Settle      ActionKind = "settle"       // delivers messages in order until none is in flight
	Tick        ActionKind = "tick"         // advances the clock by one tick, at which every node's timer runs
	Pass        ActionKind = "pass"         // advances the clock by several ticks and delivers all messages
	Put         ActionKind = "put"          // an operator sends or repeats its change at a node
	Get         ActionKind = "get"          // an operator reads the plan at a node
	Crash       ActionKind = "crash"        // stops a node; its disk is kept
	Restart     ActionKind = "restart"      // starts a stopped node from its disk
	Wipe        ActionKind = "wipe"         // erases a node's disk and restarts the node at once
	Lose        ActionKind = "lose"         // removes a node permanently, with its disk
	Stall       ActionKind = "stall"        // stops a node's disk from syncing; a crash loses the pending writes
	Unstall     ActionKind = "unstall"      // lets a stalled disk sync its pending writes
	Depart      ActionKind = "depart"       // a server announces at a node that it is gone
	Cut         ActionKind = "cut"          // isolates a node from all others in both directions
	Heal        ActionKind = "heal"         // reconnects an isolated node
)

// Action is one step of a run. Its kind determines which fields are used.
type Action struct {
	Kind     ActionKind
	Node     ident.Node
	Message  int // sequence number of the message, in the order of sending
	Operator string
}

// String formats an action in the syntax that ParseAction accepts.
func (a Action) String() string {
	switch a.Kind {
	case Deliver, Duplicate, Drop, Interrupt:
		return fmt.Sprintf("%s %d", a.Kind, a.Message)
	case Settle, Tick, Pass:
		return string(a.Kind)
	case Put:
		return fmt.Sprintf("%s %s %s", a.Kind, a.Operator, a.Node)
	}
	return fmt.Sprintf("%s %s", a.Kind, a.Node)
}

// ParseAction parses one line of a run.
func ParseAction(line string) (Action, error) {
	words := strings.Fields(line)
	if len(words) == 0 {
		return Action{}, errors.New("empty action")
	}
	a := Action{Kind: ActionKind(words[0])}
	wordCounts := map[ActionKind]int{Settle: 1, Tick: 1, Pass: 1, Put: 3}
	wordCount := 2
	if n, ok := wordCounts[a.Kind]; ok {
		wordCount = n
	}
	if len(words) != wordCount {
		return a, errors.Errorf("%q: action %s needs %d words", line, a.Kind, wordCount)
	}
	switch a.Kind {
	case Settle, Tick, Pass:
	case Deliver, Duplicate, Drop, Interrupt:
		n, err := strconv.Atoi(words[1])
		if err != nil {
			return a, errors.Wrapf(err, "%q: message number", line)
		}
		a.Message = n
	case Put:
		a.Operator, a.Node = words[1], ident.Node(words[2])
	case DeliverTo, DropTo, InterruptAt, Get, Crash, Restart, Wipe, Lose, Stall, Unstall, Depart, Cut, Heal:
		a.Node = ident.Node(words[1])
	default:
		return a, errors.Errorf("%q: unknown action", line)
	}
	return a, nil
}

// ParseRun parses a run with one action per line. Empty lines and comments that begin with # are ignored.
func ParseRun(r io.Reader) ([]Action, error) {
	var run []Action
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		line, _, _ := strings.Cut(scanner.Text(), "#")
		if strings.TrimSpace(line) == "" {
			continue
		}
		a, err := ParseAction(line)
		if err != nil {
			return nil, err
		}
		run = append(run, a)
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Wrap(err, "read run")
	}
	return run, nil
}
