package experiment

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/go-faster/errors"

	"tidedeck/internal/generic"
)

// Report is the part of the bench's report of one day that is compared here.
type Report struct {
	Worth   float64        `json:"G"` // net of prices
	Served  float64        `json:"served"`
	Parts   []Part         `json:"parts"`
	Prices  []Price        `json:"prices"`
	Classes []Group        `json:"classes"`
	Zones   []Group        `json:"zones"`
	Windows []Group        `json:"windows"`
	Ends    map[string]int `json:"ends"` // attempts by the cause that ended them
	Breaks  map[string]int `json:"breaks"`
	Fault   *string        `json:"fault"`
}

// Part is a weighted component of a day's worth.
type Part struct {
	Name   string
	Weight float64
	Value  float64
}

// UnmarshalJSON reads a part from a list of its three fields.
func (p *Part) UnmarshalJSON(raw []byte) error {
	return unmarshalList(raw, &p.Name, &p.Weight, &p.Value)
}

// MarshalJSON writes a part in the format that UnmarshalJSON reads.
func (p Part) MarshalJSON() ([]byte, error) { return json.Marshal([]any{p.Name, p.Weight, p.Value}) }

// Price is a deduction from a day's worth: its name, the amount that was charged for, and the deduction.
type Price struct {
	Name   string
	Amount float64
	Worth  float64
}

// UnmarshalJSON reads a price from a list of its three fields.
func (p *Price) UnmarshalJSON(raw []byte) error {
	return unmarshalList(raw, &p.Name, &p.Amount, &p.Worth)
}

// MarshalJSON writes a price in the format that UnmarshalJSON reads.
func (p Price) MarshalJSON() ([]byte, error) { return json.Marshal([]any{p.Name, p.Amount, p.Worth}) }

// Group holds the results of one kind of request, client zone or time window.
type Group struct {
	Name     string   `json:"name"`
	Requests int      `json:"n"`
	Late     int      `json:"late"`
	Failed   int      `json:"failed"`
	Worth    *float64 `json:"worth"` // absent if the group has no attainable worth
}

// unmarshalList decodes a JSON list with exactly one element per field.
func unmarshalList(raw []byte, fields ...any) error {
	var elements []json.RawMessage
	if err := json.Unmarshal(raw, &elements); err != nil {
		return errors.Wrap(err, "decode list")
	}
	if len(elements) != len(fields) {
		return errors.Errorf("list has %d elements, must have %d", len(elements), len(fields))
	}
	for i, field := range fields {
		if err := json.Unmarshal(elements[i], field); err != nil {
			return errors.Wrapf(err, "element %d", i)
		}
	}
	return nil
}

// ReadReport reads the report of one day.
func ReadReport(path string) (*Report, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	report := &Report{}
	if err := json.Unmarshal(raw, report); err != nil {
		return nil, errors.Wrap(err, path)
	}
	if len(report.Parts) == 0 {
		return nil, errors.Errorf("%s: not a report of a complete day: no parts", path)
	}
	return report, nil
}

func (r *Report) violations(day Day, side string) (all []Violation) {
	for _, name := range generic.SortedKeys(r.Breaks) {
		all = append(all, Violation{Day: day, Side: side, Description: name})
	}
	if r.Fault != nil {
		all = append(all, Violation{Day: day, Side: side, Description: "fault: " + *r.Fault})
	}
	return all
}

// Scales are the score scales of a site, by day.
type Scales map[string]Scale

// Scale holds the worths of one day that correspond to a score of 0 and of 1.
type Scale struct {
	Zero float64 `toml:"zero"`
	One  float64 `toml:"one"`
}

// Score maps a worth to the scale. The score may lie outside the range from 0 to 1.
func (s Scale) Score(worth float64) float64 { return (worth - s.Zero) / (s.One - s.Zero) }

// ReadScales reads the scales of a site's days from the site's file. Days without a scale are left out.
func ReadScales(site string) (Scales, error) {
	var file struct {
		Day []struct {
			Name string `toml:"name"`
			Scale
		} `toml:"day"`
	}
	if _, err := toml.DecodeFile(site, &file); err != nil {
		return nil, errors.Wrap(err, site)
	}
	scales := Scales{}
	for _, day := range file.Day {
		if day.One > day.Zero {
			scales[day.Name] = day.Scale
		}
	}
	return scales, nil
}

// Names returns the days that have a scale, sorted.
func (s Scales) Names() []string { return generic.SortedKeys(s) }

// HasAll reports whether all of the days have a scale.
func (s Scales) HasAll(names []string) bool {
	return !slices.ContainsFunc(names, func(name string) bool { _, ok := s[name]; return !ok })
}

func siteName(site string) string {
	return strings.TrimSuffix(filepath.Base(site), filepath.Ext(site))
}
