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

// Kind names what an action does.
type Kind string

// The kinds of actions.
const (
	Deliver   Kind = "deliver"      // one message arrives
	Duplicate Kind = "duplicate"    // one message arrives, and will arrive again
	Drop      Kind = "drop"         // one message is lost
	Interrupt Kind = "interrupt"    // one message arrives, and its receiver loses power before its disk is synced
	DeliverTo Kind = "deliver-to"   // all messages under way to a node arrive, in order
	DropTo    Kind = "drop-to"      // all messages under way to a node are lost
	BreakAt   Kind = "interrupt-at" // as deliver-to, and the node loses power before its disk is synced
	Settle    Kind = "settle"       // messages arrive in order until none is under way
	Tick      Kind = "tick"         // one step of time, at which every node's timer runs
	Pass      Kind = "pass"         // several steps of time, with all messages arriving
	Put       Kind = "put"          // an operator sends its change, or repeats it, at a node
	Get       Kind = "get"          // an operator reads at a node
	Crash     Kind = "crash"        // a node stops; its disk stays
	Restart   Kind = "restart"      // a stopped node starts from its disk
	Wipe      Kind = "wipe"         // a node's disk is emptied, and it starts anew at once
	Lose      Kind = "lose"         // a node is lost for good, with its disk
	Stall     Kind = "stall"        // a node's disk syncs nothing for now; a crash loses what waits
	Unstall   Kind = "unstall"      // a stalled disk syncs what waits
	Cut       Kind = "cut"          // a node reaches no other and none reaches it
	Heal      Kind = "heal"         // a node that was cut off is connected again
)

// Action is one step of a run. Which fields it uses follows from its kind.
type Action struct {
	Kind     Kind
	Node     ident.Node
	Message  int // number of the message, counted in the order of sending
	Operator string
}

// String writes an action as ParseAction reads it.
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

// ParseAction reads one line of a run.
func ParseAction(line string) (Action, error) {
	words := strings.Fields(line)
	if len(words) == 0 {
		return Action{}, errors.New("an action is empty")
	}
	a := Action{Kind: Kind(words[0])}
	wants := map[Kind]int{Settle: 1, Tick: 1, Pass: 1, Put: 3}
	want := 2
	if n, ok := wants[a.Kind]; ok {
		want = n
	}
	if len(words) != want {
		return a, errors.Errorf("%q: %s takes %d words", line, a.Kind, want)
	}
	switch a.Kind {
	case Settle, Tick, Pass:
	case Deliver, Duplicate, Drop, Interrupt:
		n, err := strconv.Atoi(words[1])
		if err != nil {
			return a, errors.Wrapf(err, "%q: number of the message", line)
		}
		a.Message = n
	case Put:
		a.Operator, a.Node = words[1], ident.Node(words[2])
	case DeliverTo, DropTo, BreakAt, Get, Crash, Restart, Wipe, Lose, Stall, Unstall, Cut, Heal:
		a.Node = ident.Node(words[1])
	default:
		return a, errors.Errorf("%q: no such action", line)
	}
	return a, nil
}

// ParseRun reads a run, one action a line. Empty lines and what follows a # are passed over.
func ParseRun(r io.Reader) ([]Action, error) {
	var run []Action
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		line, _, _ := strings.Cut(lines.Text(), "#")
		if strings.TrimSpace(line) == "" {
			continue
		}
		a, err := ParseAction(line)
		if err != nil {
			return nil, err
		}
		run = append(run, a)
	}
	if err := lines.Err(); err != nil {
		return nil, errors.Wrap(err, "read run")
	}
	return run, nil
}
