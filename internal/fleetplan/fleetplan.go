// Package fleetplan parses and validates user input: fleet plans, requests and settings. JSON is decoded into generic
// values, and a Cursor walks them and reports every fault with its path.
package fleetplan

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strconv"
	"unicode/utf8"

	"github.com/go-json-experiment/json/jsontext"

	"tidedeck/internal/generic"
)

// Fault is a validation error and the path of the faulty value.
type Fault struct {
	Path string `json:"path"`
	Why  string `json:"why"`
}

// Faults is a list of validation errors.
type Faults []Fault

// add records a fault, unless there are many already.
func (f *Faults) add(at *location, why string) {
	if len(*f) < maxFaults {
		*f = append(*f, Fault{at.String(), why})
	}
}

// Error joins the faults with semicolons.
func (f Faults) Error() string {
	var b bytes.Buffer
	for i, x := range f {
		if i > 0 {
			b.WriteString("; ")
		}
		fmt.Fprintf(&b, "%s: %s", x.Path, x.Why)
	}
	return b.String()
}

// Limits of a document. They are far beyond any plan (100 KB and 6,000 values for 578 models and 1,400 routes), and bound what
// a document takes while it is read: a value can take a hundred times its bytes.
const (
	maxDepth  = 32
	maxValues = 100_000 // values of all kinds, with those inside of others
	maxFaults = 100     // faults reported
)

// location is the position of a value in a document. Paths are formatted only for faults, since a document has many
// positions.
type location struct {
	parent *location
	key    string
	index  int // list index, if there is no key
}

// child returns the location of a key's value.
func (p *location) child(key string) *location { return &location{parent: p, key: key, index: -1} }

func (p *location) String() string {
	switch {
	case p == nil:
		return "$"
	case p.index >= 0:
		return fmt.Sprintf("%s[%d]", p.parent, p.index)
	}
	return p.parent.String() + "." + p.key
}

// Cursor is a position in a decoded document.
type Cursor struct {
	location *location
	value    any
	present  bool
	faults   *Faults
}

// ParseJSON parses JSON and returns a cursor at its root. Duplicate keys and syntax errors are faults.
func ParseJSON(raw []byte) (Cursor, *Faults) {
	faults := &Faults{}
	root := Cursor{faults: faults}
	if !utf8.Valid(raw) {
		root.Fault("not valid UTF-8")
		return root, faults
	}
	// The parser below detects duplicate names, because it knows their paths. Unpaired surrogate escapes are accepted
	// for compatibility with earlier versions.
	reader := parser{decoder: jsontext.NewDecoder(bytes.NewBuffer(raw), jsontext.AllowDuplicateNames(true), jsontext.AllowInvalidUTF8(true)), faults: faults}
	value, err := reader.value(nil, 0)
	if err == nil {
		if _, end := reader.decoder.ReadToken(); end != io.EOF {
			err = fmt.Errorf("unexpected data after the first value")
		}
	}
	if err != nil {
		root.Fault(fmt.Sprintf("malformed JSON near byte %d: %v", reader.decoder.InputOffset(), err))
		return root, faults
	}
	root.value, root.present = value, true
	return root, faults
}

// parser decodes a document into maps, lists and scalar values.
type parser struct {
	decoder *jsontext.Decoder
	faults  *Faults
	values  int // read so far
}

func (p *parser) value(at *location, level int) (any, error) {
	if level > maxDepth {
		return nil, fmt.Errorf("nested deeper than %d", maxDepth)
	}
	if p.values++; p.values > maxValues {
		return nil, fmt.Errorf("more than %d values", maxValues)
	}
	token, err := p.decoder.ReadToken()
	if err != nil {
		return nil, err
	}
	switch token.Kind() {
	case '{':
		return p.object(at, level)
	case '[':
		return p.list(at, level)
	case '"':
		return token.String(), nil
	case '0':
		return json.Number(token.String()), nil
	case 't', 'f':
		return token.Bool(), nil
	}
	return nil, nil
}

func (p *parser) object(at *location, level int) (any, error) {
	object := map[string]any{}
	for p.decoder.PeekKind() != '}' {
		token, err := p.decoder.ReadToken()
		if err != nil {
			return nil, err
		}
		key := token.String()
		here := at.child(key)
		if _, dup := object[key]; dup {
			p.faults.add(here, "duplicate key")
		}
		if object[key], err = p.value(here, level+1); err != nil {
			return nil, err
		}
	}
	_, err := p.decoder.ReadToken()
	return object, err
}

func (p *parser) list(at *location, level int) (any, error) {
	items := []any{}
	for p.decoder.PeekKind() != ']' {
		item, err := p.value(&location{parent: at, index: len(items)}, level+1)
		if err != nil {
			return nil, err
		}
		items = append(items, item)
	}
	_, err := p.decoder.ReadToken()
	return items, err
}

// Fault records a fault at this position.
func (p Cursor) Fault(why string) { p.faults.add(p.location, why) }

// IsSet reports whether the position holds a value other than null.
func (p Cursor) IsSet() bool { return p.present && p.value != nil }

// Path returns the path of this position.
func (p Cursor) Path() string { return p.location.String() }

// Value returns the decoded value: a map, a list, a string, a json.Number, a boolean, or nil.
func (p Cursor) Value() any { return p.value }

// RejectUnknown reports every key that is not in the given list as a fault.
func (p Cursor) RejectUnknown(keys ...string) Cursor {
	object, ok := p.object()
	if !ok {
		return p
	}
	for _, k := range generic.SortedKeys(object) {
		known := false
		for _, allowed := range keys {
			known = known || allowed == k
		}
		if !known {
			p.faults.add(p.location.child(k), "unknown key")
		}
	}
	return p
}

// Field moves to the value of a key.
func (p Cursor) Field(key string) Cursor {
	child := Cursor{location: &location{parent: p.location, key: key, index: -1}, faults: p.faults}
	if object, ok := p.value.(map[string]any); ok {
		child.value, child.present = object[key]
		_, child.present = object[key]
	}
	return child
}

// EachKey calls a function for each key of an object, in sorted order.
func (p Cursor) EachKey(each func(key string, n Cursor)) {
	object, ok := p.object()
	if !ok {
		return
	}
	for _, k := range generic.SortedKeys(object) {
		if k == "" || len(k) > 128 {
			p.faults.add(p.location.child(k), "key must have 1 to 128 bytes")
			continue
		}
		each(k, p.Field(k))
	}
}

// EachItem calls a function for each item of a list.
func (p Cursor) EachItem(maxItems int, each func(n Cursor)) {
	if !p.IsSet() {
		return
	}
	items, ok := p.value.([]any)
	if !ok {
		p.Fault("must be a list")
		return
	}
	if len(items) > maxItems {
		p.Fault(fmt.Sprintf("list has %d items; at most %d are allowed", len(items), maxItems))
		return
	}
	for i, item := range items {
		each(Cursor{location: &location{parent: p.location, index: i}, value: item, present: true, faults: p.faults})
	}
}

// Text reads a string. An absent value yields an empty string, and is a fault if the string is required. Null is
// always a fault.
func (p Cursor) Text(required bool, maxBytes int) string {
	if !p.IsSet() {
		if required || p.present {
			p.Fault("must be a string")
		}
		return ""
	}
	text, ok := p.value.(string)
	if !ok {
		p.Fault("must be a string")
		return ""
	}
	if len(text) > maxBytes || required && text == "" {
		p.Fault(fmt.Sprintf("must have 1 to %d bytes", maxBytes))
		return ""
	}
	return text
}

// Int reads an integer within bounds; an absent value yields the default.
func (p Cursor) Int(low, high, def int) int {
	if !p.present {
		return def
	}
	n, ok := p.value.(json.Number)
	if !ok {
		p.Fault("must be an integer")
		return def
	}
	i, err := strconv.ParseInt(n.String(), 10, 64)
	if err != nil {
		if f, e := strconv.ParseFloat(n.String(), 64); e == nil && f == math.Trunc(f) && math.Abs(f) < 1<<53 {
			i, err = int64(f), nil
		}
	}
	if err != nil || i < int64(low) || i > int64(high) {
		p.Fault(fmt.Sprintf("must be an integer from %d to %d", low, high))
		return def
	}
	return int(i)
}

// Bool reads a boolean; an absent value yields the default.
func (p Cursor) Bool(def bool) bool {
	if !p.present {
		return def
	}
	b, ok := p.value.(bool)
	if !ok {
		p.Fault("must be true or false")
		return def
	}
	return b
}

func (p Cursor) object() (map[string]any, bool) {
	if !p.present {
		return nil, false
	}
	m, ok := p.value.(map[string]any)
	if !ok {
		p.Fault("must be an object")
	}
	return m, ok
}
