package protocol

import (
	"encoding/binary"
	"encoding/json"
	"math/bits"

	"github.com/go-faster/errors"
	"github.com/klauspost/compress/zstd"

	"tidedeck/internal/ident"
)

// DesiredDelta is a desired state as its difference from an earlier one that the receiver has. A change of a large
// configuration is usually small, and hundreds of routers receive it.
type DesiredDelta struct {
	BaseGen   uint64      `json:"g"`
	BaseEpoch ident.Epoch `json:"e"`
	Data      []byte      `json:"z"` // zstd frame of the flat form, with that of the base as a dictionary
}

const (
	// deltaDictionary is the ID of the dictionary in a delta's frame.
	deltaDictionary = 1
	// minDeltaWindow is the smallest window of a delta's frame, in bytes.
	minDeltaWindow = 1 << 16
)

// NewDesiredDelta returns the difference between two desired states.
func NewDesiredDelta(base, next *Desired) (*DesiredDelta, error) {
	dictionary, err := base.flat()
	if err != nil {
		return nil, err
	}
	content, err := next.flat()
	if err != nil {
		return nil, err
	}
	window := max(minDeltaWindow, 1<<bits.Len(uint(len(dictionary)+len(content))))
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(window), zstd.WithEncoderDictRaw(deltaDictionary, dictionary))
	if err != nil {
		return nil, err
	}
	defer encoder.Close()
	return &DesiredDelta{BaseGen: base.Gen, BaseEpoch: base.Epoch, Data: encoder.EncodeAll(content, nil)}, nil
}

// IsFor reports whether a desired state is the one that the delta is based on.
func (d *DesiredDelta) IsFor(base *Desired) bool {
	return base != nil && base.Gen == d.BaseGen && base.Epoch == d.BaseEpoch
}

// Apply returns the desired state that the delta makes of its base. It fails if the base differs from the sender's.
func (d *DesiredDelta) Apply(base *Desired) (*Desired, error) {
	if !d.IsFor(base) {
		return nil, errors.New("the delta has another base")
	}
	dictionary, err := base.flat()
	if err != nil {
		return nil, err
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(maxDesiredSize), zstd.WithDecoderDictRaw(deltaDictionary, dictionary))
	if err != nil {
		return nil, err
	}
	defer decoder.Close()
	content, err := decoder.DecodeAll(d.Data, nil)
	if err != nil {
		return nil, errors.Wrap(err, "apply delta")
	}
	return parseFlat(content)
}

// flat returns the bytes that deltas are made of: the length of the state without its plan, that state, and the plan as it was
// submitted. Equal states have equal flat forms.
func (d *Desired) flat() ([]byte, error) {
	rest := plainDesired(*d)
	rest.Plan = nil
	encoded, err := json.Marshal(rest)
	if err != nil {
		return nil, err
	}
	flat := binary.AppendUvarint(make([]byte, 0, binary.MaxVarintLen64+len(encoded)+len(d.Plan)), uint64(len(encoded)))
	return append(append(flat, encoded...), d.Plan...), nil
}

func parseFlat(flat []byte) (*Desired, error) {
	length, n := binary.Uvarint(flat)
	if n <= 0 || length > uint64(len(flat)-n) {
		return nil, errors.New("truncated desired state")
	}
	encoded, plan := flat[n:n+int(length)], flat[n+int(length):]
	var d plainDesired
	if err := json.Unmarshal(encoded, &d); err != nil {
		return nil, err
	}
	if len(plan) > 0 {
		d.Plan = plan
	}
	result := Desired(d)
	return &result, nil
}
