// Package protocol joins tidedeck's processes: the messages they send each other, and the
// inputs and outputs through which a core without I/O meets sockets, disks and timers.
package protocol

import (
	"cmp"
	"reflect"

	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/ident"

	"github.com/go-faster/errors"
	wirejson "github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	wirejsonv1 "github.com/go-json-experiment/json/v1"
)

// Sibling is a process and where it listens.
type Sibling struct {
	ID   ident.Node `json:"id"`
	Addr string     `json:"addr"`
}

// Env is one message between two processes. Via, when set, is the sibling that it is sent
// through; By, when set, is the sibling that it came through, and the way for an answer.
type Env struct {
	From Sibling
	To   Sibling
	Via  Sibling
	By   Sibling
	Body any
}

// Hop tells where the envelope goes next.
func (e Env) Hop() Sibling {
	if e.Via.ID != "" {
		return e.Via
	}
	return e.To
}

// Carry turns an envelope that is meant for another into the one to send on.
func (e Env) Carry(me Sibling) Env {
	return Env{From: e.From, To: e.To, By: me, Body: e.Body}
}

// Reply makes the envelope that answers e the way it came.
func (e Env) Reply(me Sibling, body any) Env {
	return Env{From: me, To: e.From, Via: e.By, Body: body}
}

type wire struct {
	From Sibling        `json:"f"`
	To   Sibling        `json:"t"`
	By   *Sibling       `json:"v,omitempty"`
	Kind string         `json:"k"`
	Body jsontext.Value `json:"b"`
}

// wireOptions keep the form that encoding/json gives messages; only the members of maps come in any order.
var wireOptions = wirejson.JoinOptions(
	wirejson.FormatNilSliceAsNull(true), wirejson.FormatNilMapAsNull(true),
	wirejsonv1.OmitEmptyWithLegacySemantics(true), wirejsonv1.FormatDurationAsNano(true),
	jsontext.AllowInvalidUTF8(true), jsontext.AllowDuplicateNames(true), // names come from callers and servers
)

var kinds = map[string]reflect.Type{}

func init() {
	for _, b := range []any{
		Probe{}, ProbeAck{}, ProbeFor{},
		Prepare{}, Promise{}, Accept{}, Accepted{}, Query{}, State{}, Release{}, Fetch{}, Value{},
		Renew{}, Grant{}, NotOwner{}, News{}, Heard{}, Want{}, Removal{}, Hold{}, Hello{}, Keep{}, Kept{}, Taken{}, Forward{}, Forwarded{}, Listing{}, Look{}, Looked{},
		Beacons{}, BeaconsHeard{}, RollCall{}, Roll{},
	} {
		t := reflect.TypeOf(b)
		kinds[t.Name()] = t
	}
}

// Kind names a message's kind.
func Kind(body any) string { return reflect.TypeOf(body).Name() }

// address is an envelope without its body.
type address struct {
	From Sibling  `json:"f"`
	To   Sibling  `json:"t"`
	By   *Sibling `json:"v,omitempty"`
	Kind string   `json:"k"`
}

// Pack writes an envelope as bytes. What is written already is copied as it is: encoding/json would check and copy a
// large configuration once more at each level, for each router.
func Pack(e Env) ([]byte, error) {
	body, err := packBody(e.Body)
	if err != nil {
		return nil, errors.Wrap(err, "pack body")
	}
	to := address{From: e.From, To: e.To, Kind: Kind(e.Body)}
	if e.By.ID != "" {
		to.By = &e.By
	}
	head, err := wirejson.Marshal(to, wireOptions)
	if err != nil {
		return nil, err
	}
	return withMember(head, "b", body), nil
}

// withMember adds a member to a JSON object that has some.
func withMember(object []byte, name string, value []byte) []byte {
	out := make([]byte, 0, len(object)+len(name)+len(value)+len(`,"":`))
	out = append(out, object[:len(object)-1]...)
	out = append(out, `,"`...)
	out = append(out, name...)
	out = append(out, `":`...)
	out = append(out, value...)
	return append(out, '}')
}

func packBody(body any) ([]byte, error) {
	if news, ok := body.(News); ok && len(news.Items) > 0 {
		return news.pack()
	}
	return wirejson.Marshal(body, wireOptions)
}

// Unpack reads an envelope; a kind of message that is not known is an error.
func Unpack(b []byte) (Env, error) {
	var w wire
	if err := wirejson.Unmarshal(b, &w, wireOptions); err != nil {
		return Env{}, errors.Wrap(err, "unpack envelope")
	}
	t, ok := kinds[w.Kind]
	if !ok {
		return Env{}, errors.Errorf("unpack: no message is called %q", w.Kind)
	}
	p := reflect.New(t)
	if err := wirejson.Unmarshal(w.Body, p.Interface(), wireOptions); err != nil {
		return Env{}, errors.Wrapf(err, "unpack %s", w.Kind)
	}
	e := Env{From: w.From, To: w.To, Body: p.Elem().Interface()}
	if w.By != nil {
		e.By = *w.By
	}
	return e, nil
}

// Membership.

// Member is one line of membership gossip.
type Member struct {
	Sibling
	Role string     `json:"role"`
	Zone ident.Zone `json:"zone"`
	Inc  ident.Inc  `json:"inc"`
	Life string     `json:"life"`
}

// Probe asks a sibling whether it is alive.
type Probe struct {
	Seq  uint64
	News []Member
}

// ProbeAck answers a Probe, or a ProbeFor on its target's behalf.
type ProbeAck struct {
	Seq  uint64
	News []Member
}

// ProbeFor asks for a second opinion about a third process.
type ProbeFor struct {
	Seq    uint64
	Target Sibling
	News   []Member
}

// The register.

// Ballot orders the register's rounds.
//
// It names the life of its proposer's process: a proposer that starts again may not know which numbers it used
// before, since its own disk may not have them, and the same ballot must never carry two values.
type Ballot struct {
	N    uint64
	By   ident.Node
	Life ident.Inc `json:",omitempty"`
}

// Less orders ballots: by number, then by proposer, then by its life.
func (b Ballot) Less(o Ballot) bool {
	return cmp.Or(cmp.Compare(b.N, o.N), cmp.Compare(b.By, o.By), cmp.Compare(b.Life, o.Life)) < 0
}

// Voter is one voting core node, tied to one life of its disk.
type Voter struct {
	Sibling
	Zone ident.Zone `json:"zone"`
	Inc  ident.Inc  `json:"inc"`
}

// Reseed is an input, not a message: the settings now name other seeds.
type Reseed struct{ Seeds []Sibling }

// Change remembers a change that was taken, so that its repeat is answered, not redone.
type Change struct {
	ID    string      `json:"id"`
	Epoch ident.Epoch `json:"epoch"`
}

// Desired is the whole value of the register: the plan exactly as sent, and what goes with it.
type Desired struct {
	Gen     uint64       `json:"gen"`
	Epoch   ident.Epoch  `json:"epoch"`
	Plan    []byte       `json:"plan"`
	Empty   []ident.Zone `json:"empty"`
	Windows []byte       `json:"windows,omitempty"`
	Voters  []Voter      `json:"voters"`
	Prior   []Voter      `json:"prior,omitempty"`
	Shape   uint64       `json:"shape"` // numbers the voter sets
	Done    []Change     `json:"done"`
}

// Newer tells whether a desired state is newer than another, if there is another.
func (d *Desired) Newer(o *Desired) bool {
	return o == nil || d.Gen > o.Gen || d.Gen == o.Gen && d.Epoch > o.Epoch
}

// Prepare opens a round. Known is the ballot of the newest value that the proposer knows to be chosen.
type Prepare struct {
	Round  uint64
	Ballot Ballot
	Known  Ballot `json:",omitzero"`
}

// Promise answers Prepare. It has no value where the one that was accepted is the one that the proposer knows.
type Promise struct {
	Round    uint64
	OK       bool
	Inc      ident.Inc
	Promised Ballot
	Accepted Ballot
	Value    *Desired
}

// Accept closes a round. Who accepts it promises Next as well, so that the proposer can go on from Value without another
// Prepare. Chosen is the ballot of the newest value that the proposer knows to be chosen.
type Accept struct {
	Round  uint64
	Ballot Ballot
	Value  Desired
	Next   Ballot `json:",omitzero"`
	Chosen Ballot `json:",omitzero"`
}

// Accepted answers Accept.
type Accepted struct {
	Round    uint64
	OK       bool
	Inc      ident.Inc
	Promised Ballot
}

// Query reads a voter's state and, with Claim, asks it for a timed hold on the duty.
type Query struct {
	Round uint64
	Claim bool
	Duty  ident.Duty
}

// State answers Query.
type State struct {
	Round    uint64
	Inc      ident.Inc
	Blank    bool
	Accepted Ballot
	Chosen   Ballot `json:",omitzero"` // of the newest value that this node knows to be chosen
	Epoch    ident.Epoch
	Shape    uint64
	Granted  bool
	Duty     ident.Duty // highest duty ever promised
	Owner    Sibling    // who holds it now, if any
	Last     ident.Node // to whom this voter gave it last
	Prior    ident.Node // and to whom before this answer
	Shy      bool       // it gave the duty back, and does not want it for a while
	Leaving  bool       // it was told to stop: a spare node should take its seat
}

// Release gives a duty back to the voters, as its owner stops as planned, or finds that
// Next can serve it better.
type Release struct {
	Duty ident.Duty
	Next ident.Node
}

// Listing is the server list as the duty's owner last had it; every core node keeps it.
type Listing struct {
	Duty ident.Duty
	List []Listed
}

// Look asks a sibling what it reaches of the platform and of these servers.
type Look struct {
	Round uint64
	List  []Listed
}

// Looked answers Look.
type Looked struct {
	Round    uint64
	Platform bool
	Servers  int
}

// Fetch asks a core node for the newest value that it knows to be chosen, if that is as new as Ballot, and else for the one
// that it has accepted.
type Fetch struct {
	Round  uint64
	Ballot Ballot `json:",omitzero"`
}

// Value answers Fetch.
type Value struct {
	Round    uint64
	Inc      ident.Inc
	Accepted Ballot
	Value    *Desired
	Chosen   bool `json:",omitempty"` // it is known to be chosen; else it is only accepted by the sender
}

// Taken tells the voters that a value was chosen. Who has accepted it has it already; who has not can fetch it from the
// sender.
type Taken struct {
	Epoch  ident.Epoch
	Ballot Ballot
}

// Forward hands an operator's change to the owner of the leadership lease, which proposes it. Number is the sender's own, and
// Term the owner's: under another term the change is not taken.
type Forward struct {
	Number   uint64
	Term     ident.Duty
	Op       string
	Raw      []byte
	Expect   ident.Epoch
	Any      bool
	Revision ident.Epoch // that the operator gives the change; zero counts on
	Change   string      // id of the change
	Zone     ident.Zone
}

// Forwarded answers Forward with what became of the change.
type Forwarded struct {
	Number   uint64
	NotOwner bool // the receiver does not own that term, and did nothing
	Kind     failure.Kind
	Why      string
	Faults   fleetplan.Faults
	Epoch    ident.Epoch
	Empty    []ident.Zone
	Chosen   Ballot `json:",omitzero"` // of the newest value that the sender knows to be chosen
}

// Keep asks an agent for the newest desired state it holds, after a total loss.
type Keep struct{ Round uint64 }

// Kept answers Keep.
type Kept struct {
	Round uint64
	Value *Desired
}

// Router links.

// Session names one life of a router's link; entries live and die with it.
type Session struct {
	Node   ident.Node `json:"node"`
	Agent  ident.Inc  `json:"agent"`
	Router ident.Inc  `json:"router"`
	N      uint64     `json:"n"`
}

// Burden is what a router reports of one key since its last report.
type Burden struct {
	Wait int     `json:"w"`           // requests waiting
	Work int     `json:"a"`           // requests under way
	Came int     `json:"c"`           // requests that came
	Top  int     `json:"t"`           // highest value among the waiting
	Load float64 `json:"l,omitempty"` // seconds of a server's time that those which came take
}

// Renew asks for the session's hold to go on.
type Renew struct {
	Session Session
	Seq     uint64
	Fresh   bool // nothing was heard from an owner in this session yet
	Gen     uint64
	Epoch   ident.Epoch
	Heard   uint64
	Burden  map[ident.Key]Burden
	Seats   map[ident.Server]int  // tokens that this router has under way at each server
	Paces   map[ident.Key]float64 // the shortest time that a token was seen to take since the last renewal, in ns, by base
}

// Grant extends the hold: Len counts from the moment the router sent Renew Seq. One of no length extends nothing: the
// owner is there, and waits for this router to take in what it was sent.
type Grant struct {
	Session Session
	Seq     uint64
	Len     clock.Span
	Duty    ident.Duty
	Routers int
	Seats   map[ident.Server]int // tokens that all routers have under way at each server that this one uses
	Paces   *Paces               // as far as they have changed
}

// Paces tells how long servers take for a token of a prompt, in ns, as all routers together have seen it.
type Paces struct {
	Slowest float64 // of any base
	Bases   map[ident.Key]float64
}

// NotOwner answers a router that asked a core node without the duty.
// Gone says that the owner has let the session lapse and a new one must begin.
//
// Majority says that a majority of the core has answered this node of late: whoever hears this is in touch with the core,
// also while nobody can tell what is the newest.
//
// Fresh, where it is set, is a lease on the configuration alone, which any core node can give: a majority showed it
// nothing newer than Gen and Epoch. A router that has that configuration may go by it for so long from the moment it
// sent Renew Seq, to any server but those that leave.
type NotOwner struct {
	Session  Session
	Hint     Sibling
	Gone     bool
	Cores    []Sibling
	Majority bool           `json:",omitempty"`
	Seq      uint64         `json:",omitempty"`
	Gen      uint64         `json:",omitempty"`
	Epoch    ident.Epoch    `json:",omitempty"`
	Fresh    clock.Span     `json:",omitempty"`
	Leaving  []ident.Server `json:",omitempty"`
}

// Replica is one server that holds a key loaded and ready.
type Replica struct {
	Server ident.Server `json:"s"`
	Addr   string       `json:"a"`
	Zone   ident.Zone   `json:"z"`
	Inc    ident.Inc    `json:"i"`
	Slots  int          `json:"n"`
	Warm   clock.Span   `json:"w"` // how long it had been ready when the entry was made
}

// Item is one numbered change on a router link: exactly one of its parts is set.
type Item struct {
	Num     uint64    `json:"n"`
	Desired *Desired  `json:"d,omitempty"`
	Entry   *Entry    `json:"e,omitempty"`
	Break   ident.Key `json:"b,omitempty"`
	Packed  *Packed   `json:"-"` // the desired state or the entry as bytes, shared by all that it goes to
}

// Entry is a placement entry; its delivery places a callback on it.
type Entry struct {
	Key      ident.Key  `json:"k"`
	Mark     ident.Mark `json:"m"`
	Same     bool       `json:"s,omitempty"` // the holder's copy is still right
	Replicas []Replica  `json:"r,omitempty"`
	Never    bool       `json:"x,omitempty"` // an empty entry that no server has room to fill
	Soon     clock.Span `json:"o,omitempty"` // when an empty entry is likely filled, from when it was made
}

// News carries numbered changes in order.
type News struct {
	Session Session
	Duty    ident.Duty
	Items   []Item
}

// Heard acknowledges every change up to Num.
type Heard struct {
	Session Session
	Num     uint64
}

// Want asks for an entry and a callback on it; Mark is what the router still has, if anything.
type Want struct {
	Session Session
	Key     ident.Key
	Mark    ident.Mark
	Waiting int
	Value   int
}

// Drop names an entry that a router let go, and the number of its delivery.
type Drop struct {
	Key ident.Key
	Num uint64
}

// Removal is a batch of entries that a router let go.
type Removal struct {
	Session Session
	Drops   []Drop
}

// Hello is router's word to its agent: which life it is in and what it has in force.
type Hello struct {
	Router  ident.Inc
	Session Session
	Gen     uint64
	Epoch   ident.Epoch
	Burden  map[ident.Key]Burden
	Seats   map[ident.Server]int
	Paces   map[ident.Key]float64
}

// Hold is agent's word to its router: route under this session until the moment Until
// on the machine's steady clock, which both share.
type Hold struct {
	Session Session
	Until   clock.Tick
	Duty    ident.Duty
	Routers int
	Seats   map[ident.Server]int
	Paces   *Paces
	Parted  bool // no core node is heard, though each was asked: this machine is cut off
	// Without an owner's lease the configuration may be gone by until Current, to servers that are not Leaving.
	Current clock.Tick
	Leaving []ident.Server
}

// Inputs and outputs of cores.

// Beat is a core's timer input.
type Beat struct{}

// Start is a core's first input: what its disk had.
type Start struct{ Disk map[string][]byte }

// Stop is a core's last input before a planned stop.
type Stop struct{}

// Save asks for a batch of keys to be written and synced, in the order asked.
type Save struct {
	Token uint64
	Puts  map[string][]byte
}

// Saved says that a Save is durable.
type Saved struct{ Token uint64 }

// Compute asks for something to be computed beside a core, since it may take longer than a core may stand still. Run looks at
// nothing that the core changes.
type Compute struct {
	Token uint64
	Run   func()
}

// Computed tells a core that a computation is done.
type Computed struct{ Token uint64 }

// Ask asks a model server or the platform over HTTP.
type Ask struct {
	Token uint64
	Addr  string
	// Server is the only one that is meant: another one may have its address by now. Empty for whoever is there.
	Server ident.Server
	Path   string
	Body   any
	Wait   clock.Span
	Kept   bool       // it changes nothing, so that a connection may serve it that served before
	Until  clock.Tick // it is not sent any more after this moment, if one is set
}

// Told answers an Ask. OK is false when no answer came.
type Told struct {
	Token  uint64
	OK     bool
	Code   int
	Server ident.Server // that the answer names, if it names any
	Body   []byte
}

// Oops says that something went wrong that is worth writing out the ring of logs for.
type Oops struct{ Text string }

// Note is one line for the ring of logs.
type Note struct {
	Text   string
	Fields []Field
}

// Field is a named value of a log line.
type Field struct {
	Name  string
	Value any
}

// Servers, platform and store.

// Order is what a duty owner sends to a model server; an empty Op only asks for the report.
type Order struct {
	Duty ident.Duty `json:"duty"`
	Num  uint64     `json:"num"`
	Inc  ident.Inc  `json:"inc,omitempty"`
	Op   string     `json:"op,omitempty"`
	Key  ident.Key  `json:"key,omitempty"`
	Size int        `json:"size,omitempty"`
	// Of servers that check no fence: who orders, and how many orders they must have taken before.
	Owner    ident.Node `json:"owner,omitempty"`
	Expected uint64     `json:"expected,omitempty"`
	Confirms bool       `json:"-"` // it was taken before, and asks whether it is done
}

// Held is one line of a server's report.
type Held struct {
	Key    ident.Key `json:"key"`
	Size   int       `json:"size"`
	Stage  string    `json:"stage"` // loading, ready
	Active int       `json:"active"`
	AgeMs  int64     `json:"age_ms"` // since it came to this stage
}

// Report is a model server's account of itself. Of servers that check no fence, Num is how many orders
// they have taken, and Busy says that one is still under way.
type Report struct {
	Server ident.Server `json:"server"`
	Inc    ident.Inc    `json:"inc"`
	Duty   ident.Duty   `json:"duty"`
	Num    uint64       `json:"num"`
	Room   int          `json:"room"`
	Slots  int          `json:"slots"`
	Held   []Held       `json:"held"`
	Drop   failure.Kind `json:"drop,omitempty"` // why the order was dropped
	Busy   bool         `json:"busy,omitempty"`
}

// Listed is one line of the platform's server list.
type Listed struct {
	ID    ident.Server `json:"id"`
	Addr  string       `json:"addr"`
	Zone  ident.Zone   `json:"zone"`
	State string       `json:"state"` // live, leaving, gone
	// Of servers that announce themselves: what they belong to, and what they can do at once.
	Service string `json:"service,omitempty"`
	Slots   int    `json:"slots,omitempty"`
}

// Beacon is a server's own announcement of itself. Every start of a server has an id of its own;
// Count orders its beacons, which may come late and to any core node.
type Beacon struct {
	Listed
	Count uint64      `json:"count"`
	Left  clock.Span  `json:"left,omitempty"` // it is gone after so long, whatever it runs
	Cold  clock.Span  `json:"cold,omitempty"` // it is slow for so long from its start
	Held  []ident.Key `json:"held,omitempty"` // what it holds ready
}

// Beacons carries announcements between core nodes. Mark, when set, wants an answer.
type Beacons struct {
	Mark uint64
	List []Beacon
}

// RollCall asks a core node for every server that it knows of, when an owner begins.
type RollCall struct {
	Duty ident.Duty
	Life ident.Inc // of the asker's process
}

// Roll answers RollCall.
type Roll struct {
	Duty    ident.Duty
	Life    ident.Inc // of the asker's process, as the question named it
	Inc     ident.Inc // of the sender's disk
	Partial bool      // the sender's disk began a new life, and it has not heard a majority's rolls yet
	List    []Beacon
}

// BeaconsHeard answers Beacons: they are known here. Ruled says more: the sender owns the duty, and no
// router's promise to send to any of them outlives the hold.
type BeaconsHeard struct {
	Mark  uint64
	Inc   ident.Inc // of the disk that knows them
	Ruled bool
}

// Work is one request as it is sent to a model server.
type Work struct {
	Go     string    `json:"go"`
	ID     string    `json:"id"`
	Base   string    `json:"model"`
	Extra  string    `json:"adapter,omitempty"`
	Inc    ident.Inc `json:"inc"`
	Parts  []string  `json:"parts,omitempty"`
	Prompt string    `json:"prompt"`
	Max    int       `json:"max_tokens"`
	Once   bool      `json:"once"` // may not be repeated
	Tenant string    `json:"tenant,omitempty"`
}
