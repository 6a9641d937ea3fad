// Package fleetplan reads and checks what people write: fleet plans, requests and settings.
// JSON becomes maps, and a small reader of paths walks them and names every faulty path.
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

// Fault is one thing wrong, and where.
type Fault struct {
	Path string `json:"path"`
	Why  string `json:"why"`
}

// Faults gathers what a reading found wrong.
type Faults []Fault

// Error joins the faults into one line each.
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

const depth = 32

// place is where in a document something stands. Paths are written only for faults, since a document has many places.
type place struct {
	in    *place
	key   string
	index int // in a list, if there is no key
}

func (p *place) String() string {
	switch {
	case p == nil:
		return "$"
	case p.index >= 0:
		return fmt.Sprintf("%s[%d]", p.in, p.index)
	}
	return p.in.String() + "." + p.key
}

// Pen is the reader's place in the tree.
type Pen struct {
	at  *place
	val any
	has bool
	all *Faults
}

// Open parses JSON and gives a reader at its root; duplicate keys and bad syntax are faults.
func Open(raw []byte) (Pen, *Faults) {
	all := &Faults{}
	p := Pen{all: all}
	if !utf8.Valid(raw) {
		p.Fault("not valid UTF-8")
		return p, all
	}
	// Duplicate names are found by the tree, which knows their paths. Escapes of half characters are taken as before.
	t := tree{decoder: jsontext.NewDecoder(bytes.NewBuffer(raw), jsontext.AllowDuplicateNames(true), jsontext.AllowInvalidUTF8(true)), all: all}
	v, err := t.value(nil, 0)
	if err == nil {
		if _, end := t.decoder.ReadToken(); end != io.EOF {
			err = fmt.Errorf("more follows the first value")
		}
	}
	if err != nil {
		p.Fault(fmt.Sprintf("malformed JSON near byte %d: %v", t.decoder.InputOffset(), err))
		return p, all
	}
	p.val, p.has = v, true
	return p, all
}

// tree reads a document into maps, lists and plain values.
type tree struct {
	decoder *jsontext.Decoder
	all     *Faults
}

func (t *tree) value(at *place, deep int) (any, error) {
	if deep > depth {
		return nil, fmt.Errorf("nested deeper than %d", depth)
	}
	token, err := t.decoder.ReadToken()
	if err != nil {
		return nil, err
	}
	switch token.Kind() {
	case '{':
		return t.table(at, deep)
	case '[':
		return t.list(at, deep)
	case '"':
		return token.String(), nil
	case '0':
		return json.Number(token.String()), nil
	case 't', 'f':
		return token.Bool(), nil
	}
	return nil, nil
}

func (t *tree) table(at *place, deep int) (any, error) {
	m := map[string]any{}
	for t.decoder.PeekKind() != '}' {
		token, err := t.decoder.ReadToken()
		if err != nil {
			return nil, err
		}
		key := token.String()
		here := &place{in: at, key: key, index: -1}
		if _, dup := m[key]; dup {
			*t.all = append(*t.all, Fault{here.String(), "duplicate key"})
		}
		if m[key], err = t.value(here, deep+1); err != nil {
			return nil, err
		}
	}
	_, err := t.decoder.ReadToken()
	return m, err
}

func (t *tree) list(at *place, deep int) (any, error) {
	l := []any{}
	for t.decoder.PeekKind() != ']' {
		v, err := t.value(&place{in: at, index: len(l)}, deep+1)
		if err != nil {
			return nil, err
		}
		l = append(l, v)
	}
	_, err := t.decoder.ReadToken()
	return l, err
}

// Fault records something wrong at this place.
func (p Pen) Fault(why string) { *p.all = append(*p.all, Fault{p.at.String(), why}) }

// Has tells whether the place holds anything.
func (p Pen) Has() bool { return p.has && p.val != nil }

// Path tells where the reader is.
func (p Pen) Path() string { return p.at.String() }

// Value gives what stands there: a map, a list, a text, a json.Number, a truth, or nothing.
func (p Pen) Value() any { return p.val }

// Only faults every key that is not among those named.
func (p Pen) Only(keys ...string) Pen {
	m, ok := p.table()
	if !ok {
		return p
	}
	for _, k := range generic.SortedKeys(m) {
		known := false
		for _, w := range keys {
			known = known || w == k
		}
		if !known {
			*p.all = append(*p.all, Fault{p.at.String() + "." + k, "unknown key"})
		}
	}
	return p
}

// At steps to a key.
func (p Pen) At(key string) Pen {
	n := Pen{at: &place{in: p.at, key: key, index: -1}, all: p.all}
	if m, ok := p.val.(map[string]any); ok {
		n.val, n.has = m[key]
		_, n.has = m[key]
	}
	return n
}

// Keys steps to each key of a table, in order.
func (p Pen) Keys(each func(key string, n Pen)) {
	m, ok := p.table()
	if !ok {
		return
	}
	for _, k := range generic.SortedKeys(m) {
		if k == "" || len(k) > 128 {
			*p.all = append(*p.all, Fault{p.at.String() + "." + k, "a name has 1 to 128 bytes"})
			continue
		}
		each(k, p.At(k))
	}
}

// List steps to each part of a list.
func (p Pen) List(most int, each func(n Pen)) {
	if !p.Has() {
		return
	}
	l, ok := p.val.([]any)
	if !ok {
		p.Fault("wants a list")
		return
	}
	if len(l) > most {
		p.Fault(fmt.Sprintf("has %d parts, at most %d are allowed", len(l), most))
		return
	}
	for i, v := range l {
		each(Pen{at: &place{in: p.at, index: i}, val: v, has: true, all: p.all})
	}
}

// Text reads a string; absent gives the default, unless it must be there.
func (p Pen) Text(must bool, most int) string {
	if !p.Has() {
		if must || p.has {
			p.Fault("wants a text")
		}
		return ""
	}
	s, ok := p.val.(string)
	if !ok {
		p.Fault("wants a text")
		return ""
	}
	if len(s) > most || must && s == "" {
		p.Fault(fmt.Sprintf("wants 1 to %d bytes", most))
		return ""
	}
	return s
}

// Int reads a whole number within bounds; absent gives the default.
func (p Pen) Int(low, high, def int) int {
	if !p.has {
		return def
	}
	n, ok := p.val.(json.Number)
	if !ok {
		p.Fault("wants a whole number")
		return def
	}
	i, err := strconv.ParseInt(n.String(), 10, 64)
	if err != nil {
		if f, e := strconv.ParseFloat(n.String(), 64); e == nil && f == math.Trunc(f) && math.Abs(f) < 1<<53 {
			i, err = int64(f), nil
		}
	}
	if err != nil || i < int64(low) || i > int64(high) {
		p.Fault(fmt.Sprintf("wants a whole number from %d to %d", low, high))
		return def
	}
	return int(i)
}

// Bool reads a truth; absent gives the default.
func (p Pen) Bool(def bool) bool {
	if !p.has {
		return def
	}
	b, ok := p.val.(bool)
	if !ok {
		p.Fault("wants true or false")
		return def
	}
	return b
}

func (p Pen) table() (map[string]any, bool) {
	if !p.has {
		return nil, false
	}
	m, ok := p.val.(map[string]any)
	if !ok {
		p.Fault("wants a table")
	}
	return m, ok
}
