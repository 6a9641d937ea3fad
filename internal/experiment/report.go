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

// Report is what the bench tells of one day, as far as it is compared here.
type Report struct {
	Worth   float64        `json:"G"` // less prices
	Served  float64        `json:"served"`
	Parts   []Part         `json:"parts"`
	Prices  []Price        `json:"prices"`
	Classes []Group        `json:"classes"`
	Zones   []Group        `json:"zones"`
	Windows []Group        `json:"windows"`
	Ends    map[string]int `json:"ends"` // how tries ended, by cause
	Breaks  map[string]int `json:"breaks"`
	Fault   *string        `json:"fault"`
}

// Part is a part of a day's worth: its name, its weight and its value.
type Part struct {
	Name   string
	Weight float64
	Value  float64
}

// UnmarshalJSON reads a part from a list of its three fields.
func (p *Part) UnmarshalJSON(raw []byte) error {
	return unmarshalList(raw, &p.Name, &p.Weight, &p.Value)
}

// MarshalJSON writes a part as it was read.
func (p Part) MarshalJSON() ([]byte, error) { return json.Marshal([]any{p.Name, p.Weight, p.Value}) }

// Price is what was deducted for something: its name, how much there was of it, and the deduction.
type Price struct {
	Name   string
	Amount float64
	Worth  float64
}

// UnmarshalJSON reads a price from a list of its three fields.
func (p *Price) UnmarshalJSON(raw []byte) error {
	return unmarshalList(raw, &p.Name, &p.Amount, &p.Worth)
}

// MarshalJSON writes a price as it was read.
func (p Price) MarshalJSON() ([]byte, error) { return json.Marshal([]any{p.Name, p.Amount, p.Worth}) }

// Group is a kind of request, a zone of clients or a span of time.
type Group struct {
	Name     string   `json:"name"`
	Requests int      `json:"n"`
	Late     int      `json:"late"`
	Failed   int      `json:"failed"`
	Worth    *float64 `json:"worth"` // absent where nothing was owed
}

// unpack reads a JSON list of fixed length into its fields.
func unmarshalList(raw []byte, fields ...any) error {
	var list []json.RawMessage
	if err := json.Unmarshal(raw, &list); err != nil {
		return errors.Wrap(err, "read a list")
	}
	if len(list) != len(fields) {
		return errors.Errorf("has %d fields, wants %d", len(list), len(fields))
	}
	for i, field := range fields {
		if err := json.Unmarshal(list[i], field); err != nil {
			return errors.Wrapf(err, "field %d", i)
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
	r := &Report{}
	if err := json.Unmarshal(raw, r); err != nil {
		return nil, errors.Wrap(err, path)
	}
	if len(r.Parts) == 0 {
		return nil, errors.Errorf("%s: no parts: it is no report of a whole day", path)
	}
	return r, nil
}

func (r *Report) violations(d Day, side string) (all []Violation) {
	for _, name := range generic.SortedKeys(r.Breaks) {
		all = append(all, Violation{Day: d, Side: side, Description: name})
	}
	if r.Fault != nil {
		all = append(all, Violation{Day: d, Side: side, Description: "fault: " + *r.Fault})
	}
	return all
}

// Marks are the worths that stand for a score of 0 and of 1, by day.
type Scales map[string]Scale

// Mark is the two of one day.
type Scale struct {
	Zero float64 `toml:"zero"`
	One  float64 `toml:"one"`
}

// Score tells where a worth falls between the marks; it may lie outside of 0 to 1.
func (m Scale) Score(worth float64) float64 { return (worth - m.Zero) / (m.One - m.Zero) }

// ReadMarks reads the marks of a site's days from its file.
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
	marks := Scales{}
	for _, d := range file.Day {
		if d.One > d.Zero {
			marks[d.Name] = d.Scale
		}
	}
	return marks, nil
}

// Names lists the days that have marks.
func (m Scales) Names() []string { return generic.SortedKeys(m) }

// Has tells whether all of the days have marks.
func (m Scales) HasAll(names []string) bool {
	return !slices.ContainsFunc(names, func(n string) bool { _, ok := m[n]; return !ok })
}

func siteName(site string) string {
	return strings.TrimSuffix(filepath.Base(site), filepath.Ext(site))
}
