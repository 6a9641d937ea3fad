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

// Pen is the reader's place in the tree.
type Pen struct {
	path string
	val  any
	has  bool
	all  *Faults
}

// Open parses JSON and gives a reader at its root; duplicate keys and bad syntax are faults.
func Open(raw []byte) (Pen, *Faults) {
	all := &Faults{}
	p := Pen{path: "$", all: all}
	if !utf8.Valid(raw) {
		p.Fault("not valid UTF-8")
		return p, all
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	v, err := tree(d, "$", all, 0)
	if err == nil {
		if _, end := d.Token(); end != io.EOF {
			err = fmt.Errorf("more follows the first value")
		}
	}
	if err != nil {
		p.Fault(fmt.Sprintf("malformed JSON near byte %d: %v", d.InputOffset(), err))
		return p, all
	}
	p.val, p.has = v, true
	return p, all
}

func tree(d *json.Decoder, at string, all *Faults, deep int) (any, error) {
	if deep > depth {
		return nil, fmt.Errorf("nested deeper than %d", depth)
	}
	t, err := d.Token()
	if err != nil {
		return nil, err
	}
	switch t {
	case json.Delim('{'):
		m := map[string]any{}
		for d.More() {
			k, err := d.Token()
			if err != nil {
				return nil, err
			}
			s := k.(string)
			p := at + "." + s
			if _, dup := m[s]; dup {
				*all = append(*all, Fault{p, "duplicate key"})
			}
			if m[s], err = tree(d, p, all, deep+1); err != nil {
				return nil, err
			}
		}
		_, err = d.Token()
		return m, err
	case json.Delim('['):
		l := []any{}
		for d.More() {
			v, err := tree(d, fmt.Sprintf("%s[%d]", at, len(l)), all, deep+1)
			if err != nil {
				return nil, err
			}
			l = append(l, v)
		}
		_, err = d.Token()
		return l, err
	}
	return t, nil
}

// Fault records something wrong at this place.
func (p Pen) Fault(why string) { *p.all = append(*p.all, Fault{p.path, why}) }

// Has tells whether the place holds anything.
func (p Pen) Has() bool { return p.has && p.val != nil }

// Path tells where the reader is.
func (p Pen) Path() string { return p.path }

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
			*p.all = append(*p.all, Fault{p.path + "." + k, "unknown key"})
		}
	}
	return p
}

// At steps to a key.
func (p Pen) At(key string) Pen {
	n := Pen{path: p.path + "." + key, all: p.all}
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
			*p.all = append(*p.all, Fault{p.path + "." + k, "a name has 1 to 128 bytes"})
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
		each(Pen{path: fmt.Sprintf("%s[%d]", p.path, i), val: v, has: true, all: p.all})
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
