// Package immutable checks that what the step of a state machine has handed out, such as messages and disk writes, is
// never modified afterwards. Other goroutines encode these values while the machine goes on, so a later modification is a
// data race, and one of a map can end the process. Tests, the simulator and the explorer use it.
package immutable

import (
	"fmt"

	"github.com/gohugoio/hashstructure"

	"tidedeck/internal/protocol"
)

// Checker remembers the digests of outputs and compares them later. The zero value remembers nothing until an output is
// observed. A Checker is not safe for concurrent use.
type Checker struct {
	// Every is the interval between observed outputs: 1 or less observes each of them.
	Every   int
	seen    int
	next    int
	pending []handedOut
}

// handedOut is an output and its digest at the time that it was handed out.
type handedOut struct {
	source string
	output any
	digest uint64
}

// maxPending is how many outputs a checker remembers. When another one is observed, the oldest is compared and forgotten.
const maxPending = 256

// Observe remembers the outputs of one step of the named source. It returns an error if an earlier output that is due for
// comparison has been modified.
func (c *Checker) Observe(source string, outputs []any) error {
	for _, output := range outputs {
		if !isChecked(output) {
			continue
		}
		if c.seen++; c.Every > 1 && c.seen%c.Every != 0 {
			continue
		}
		entry := handedOut{source, output, digestOf(output)}
		if len(c.pending) < maxPending {
			c.pending = append(c.pending, entry)
			continue
		}
		oldest := c.pending[c.next]
		c.pending[c.next] = entry
		c.next = (c.next + 1) % maxPending
		if err := oldest.compare(); err != nil {
			return err
		}
	}
	return nil
}

// Verify returns an error if any remembered output has been modified.
func (c *Checker) Verify() error {
	for _, entry := range c.pending {
		if err := entry.compare(); err != nil {
			return err
		}
	}
	return nil
}

func (h handedOut) compare() error {
	if digestOf(h.output) == h.digest {
		return nil
	}
	return fmt.Errorf("%s modified a value after it had handed it out: %s", h.source, kindOf(h.output))
}

// isChecked selects the outputs that other goroutines read.
func isChecked(output any) bool {
	switch output.(type) {
	case protocol.Envelope, protocol.Save, protocol.HTTPRequest, protocol.LogLine:
		return true
	}
	return false
}

// kindOf names an output in an error.
func kindOf(output any) string {
	if e, ok := output.(protocol.Envelope); ok {
		return protocol.Kind(e.Body)
	}
	return fmt.Sprintf("%T", output)
}

func digestOf(output any) uint64 {
	digest, err := hashstructure.Hash(output, nil)
	if err != nil {
		panic(fmt.Sprintf("cannot digest %s: %v", kindOf(output), err)) // only messages and writes, which hold plain data, are passed
	}
	return digest
}
