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

// maxDesiredSize is the maximum size of a decompressed desired state. A plan of the maximum size and its windows, both
// in base64, take half of it.
const maxDesiredSize = 16 << 20

// SharedEncoding caches the encoding of an immutable value that is sent to many receivers.
type SharedEncoding struct {
	once    sync.Once
	encoded []byte
	err     error
}

// encode returns the encoding of value and computes it only once. A nil SharedEncoding caches nothing.
func (p *SharedEncoding) encode(value any) ([]byte, error) {
	return p.compute(func() ([]byte, error) { return wirejson.Marshal(value, wireOptions) })
}

// compute returns the result of a function and calls it only once.
func (p *SharedEncoding) compute(encode func() ([]byte, error)) ([]byte, error) {
	if p == nil {
		return encode()
	}
	p.once.Do(func() { p.encoded, p.err = encode() })
	return p.encoded, p.err
}

// MarshalJSON encodes an item. A part that is sent to many routers is encoded only once.
func (i Update) MarshalJSON() ([]byte, error) {
	out := strconv.AppendUint([]byte(`{"n":`), i.Num, 10)
	if i.Entry != nil {
		entry, err := i.Shared.encode(i.Entry)
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
	switch {
	case i.Delta != nil: // received, and relayed
		delta, err := wirejson.Marshal(i.Delta, wireOptions)
		if err != nil {
			return nil, err
		}
		out = append(append(out, `,"x":`...), delta...)
	case i.Desired == nil:
	case i.Base != nil:
		delta, err := i.Shared.compute(i.encodeDelta)
		if err != nil {
			return nil, err
		}
		out = append(append(out, `,"x":`...), delta...)
	default:
		desired, err := i.Shared.encode(i.Desired)
		if err != nil {
			return nil, err
		}
		out = append(append(out, `,"d":`...), desired...)
	}
	return append(out, '}'), nil
}

// encodeDelta encodes the difference between the desired state and the one that the receiver has.
func (i Update) encodeDelta() ([]byte, error) {
	delta, err := NewDesiredDelta(i.Base, i.Desired)
	if err != nil {
		return nil, err
	}
	return wirejson.Marshal(delta, wireOptions)
}

// encode encodes the message as encoding/json would, but copies the items' encodings unchanged.
func (n Updates) encode() ([]byte, error) {
	header, err := wirejson.Marshal(struct {
		Session Session
		Duty    ident.Term
		Late    bool `json:",omitempty"`
	}{n.Session, n.Term, n.LateAck}, wireOptions)
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
	return withMember(header, "Items", append(list, ']')), nil
}

// plainDesired has the fields of Desired without its methods.
type plainDesired Desired

type compressedDesired struct {
	Data []byte `json:"z"`
}

// MarshalJSON encodes a desired state in compressed form.
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
	return json.Marshal(compressedDesired{b.Bytes()})
}

// UnmarshalJSON decodes a desired state, either compressed or in the plain form of earlier versions.
func (d *Desired) UnmarshalJSON(raw []byte) error {
	var z compressedDesired
	if err := json.Unmarshal(raw, &z); err != nil {
		return err
	}
	if z.Data != nil {
		unpacked, err := z.decompress()
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
	if z.Data != nil && (read.Nested != nil || bytes.Equal(bytes.TrimSpace(raw), []byte("null"))) {
		return errors.New("unpack desired state: compressed data contains no desired state")
	}
	*d = Desired(read.plainDesired)
	return nil
}

// decompress decompresses the JSON of a desired state and refuses any data after its end.
func (z compressedDesired) decompress() ([]byte, error) {
	compressed := bytes.NewReader(z.Data)
	unpacked, err := io.ReadAll(io.LimitReader(flate.NewReader(compressed), maxDesiredSize+1))
	switch {
	case err != nil:
		return nil, err
	case len(unpacked) > maxDesiredSize:
		return nil, errors.Errorf("decompressed size exceeds %d bytes", maxDesiredSize)
	case compressed.Len() > 0:
		return nil, errors.Errorf("%d bytes after the end of the compressed data", compressed.Len())
	}
	return unpacked, nil
}
