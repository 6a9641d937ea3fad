package protocol

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"strconv"
	"sync"

	"tidedeck/internal/ident"

	"github.com/go-faster/errors"
	wirejson "github.com/go-json-experiment/json"
)

// mostDesired bounds what a desired state may come to when it is unpacked: a plan of the largest size that is
// taken and its windows, both as base64, come to half of it.
const mostDesired = 16 << 20

// Packed keeps the bytes of something that does not change and is sent to many.
type Packed struct {
	once  sync.Once
	bytes []byte
	err   error
}

// pack gives the bytes of what is sent to many, which are written once.
func (p *Packed) pack(value any) ([]byte, error) {
	if p == nil {
		p = &Packed{}
	}
	p.once.Do(func() { p.bytes, p.err = wirejson.Marshal(value, wireOptions) })
	return p.bytes, p.err
}

// MarshalJSON writes an item; what goes to many routers is written as bytes only once.
func (i Item) MarshalJSON() ([]byte, error) {
	out := strconv.AppendUint([]byte(`{"n":`), i.Num, 10)
	if i.Entry != nil {
		entry, err := i.Packed.pack(i.Entry)
		if err != nil {
			return nil, err
		}
		out = append(append(out, `,"e":`...), entry...)
	}
	if i.Break != "" {
		key, err := wirejson.Marshal(i.Break, wireOptions)
		if err != nil {
			return nil, err
		}
		out = append(append(out, `,"b":`...), key...)
	}
	if i.Desired != nil {
		desired, err := i.Packed.pack(i.Desired)
		if err != nil {
			return nil, err
		}
		out = append(append(out, `,"d":`...), desired...)
	}
	return append(out, '}'), nil
}

// pack writes changes as encoding/json would, with the items' bytes as they are.
func (n News) pack() ([]byte, error) {
	head, err := wirejson.Marshal(struct {
		Session Session
		Duty    ident.Duty
	}{n.Session, n.Duty}, wireOptions)
	if err != nil {
		return nil, err
	}
	list := []byte{'['}
	for i, item := range n.Items {
		if i > 0 {
			list = append(list, ',')
		}
		packed, err := item.MarshalJSON()
		if err != nil {
			return nil, err
		}
		list = append(list, packed...)
	}
	return withMember(head, "Items", append(list, ']')), nil
}

// plainDesired has a desired state's fields and none of its methods.
type plainDesired Desired

type squeezed struct {
	Z []byte `json:"z"`
}

// MarshalJSON writes a desired state squeezed.
func (d Desired) MarshalJSON() ([]byte, error) {
	raw, err := json.Marshal(plainDesired(d))
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(raw); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return json.Marshal(squeezed{b.Bytes()})
}

// UnmarshalJSON reads a desired state, squeezed or as earlier versions wrote it.
func (d *Desired) UnmarshalJSON(raw []byte) error {
	var z squeezed
	if err := json.Unmarshal(raw, &z); err != nil {
		return err
	}
	if z.Z != nil {
		unpacked, err := z.unpack()
		if err != nil {
			return errors.Wrap(err, "unpack desired state")
		}
		raw = unpacked
	}
	var read struct {
		plainDesired
		Nested json.RawMessage `json:"z"`
	}
	if err := json.Unmarshal(raw, &read); err != nil {
		return err
	}
	if z.Z != nil && (read.Nested != nil || bytes.Equal(bytes.TrimSpace(raw), []byte("null"))) {
		return errors.New("unpack desired state: there is none in it")
	}
	*d = Desired(read.plainDesired)
	return nil
}

// unpack gives the JSON of a desired state that was squeezed, and nothing else.
func (z squeezed) unpack() ([]byte, error) {
	rest := bytes.NewReader(z.Z)
	unpacked, err := io.ReadAll(io.LimitReader(flate.NewReader(rest), mostDesired+1))
	switch {
	case err != nil:
		return nil, err
	case len(unpacked) > mostDesired:
		return nil, errors.Errorf("it comes to more than %d bytes", mostDesired)
	case rest.Len() > 0:
		return nil, errors.Errorf("%d bytes follow it", rest.Len())
	}
	return unpacked, nil
}
