// Package protocol defines the messages exchanged between tidedeck processes, and the inputs and outputs that connect
// the deterministic cores to sockets, disks and timers.
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

// Peer identifies a process and its address.
type Peer struct {
	ID   ident.Node `json:"id"`
	Addr string     `json:"addr"`
}

// Envelope is one message between two processes with its addresses. If Via is set, the message is sent through that
// process. If RelayedBy is set, the message arrived through that process, and a reply takes the same route.
type Envelope struct {
	From      Peer
	To        Peer
	Via       Peer
	RelayedBy Peer `json:"By"`
	Body      any
}

// NextHop returns the process to which the envelope is sent next.
func (e Envelope) NextHop() Peer {
	if e.Via.ID != "" {
		return e.Via
	}
	return e.To
}

// Relay returns the envelope that a relay sends on to the final recipient.
func (e Envelope) Relay(self Peer) Envelope {
	return Envelope{From: e.From, To: e.To, RelayedBy: self, Body: e.Body}
}

// Reply returns an envelope that answers e along the route by which e arrived.
func (e Envelope) Reply(self Peer, body any) Envelope {
	return Envelope{From: self, To: e.From, Via: e.RelayedBy, Body: body}
}

type wireEnvelope struct {
	From Peer           `json:"f"`
	To   Peer           `json:"t"`
	By   *Peer          `json:"v,omitempty"`
	Kind string         `json:"k"`
	Body jsontext.Value `json:"b"`
}

// wireOptions reproduce the format of encoding/json, except that map members are written in arbitrary order.
var wireOptions = wirejson.JoinOptions(
	wirejson.FormatNilSliceAsNull(true), wirejson.FormatNilMapAsNull(true),
	wirejsonv1.OmitEmptyWithLegacySemantics(true), wirejsonv1.FormatDurationAsNano(true),
	jsontext.AllowInvalidUTF8(true), jsontext.AllowDuplicateNames(true), // clients and servers choose names, which may be invalid
)

// kinds maps the kind of each message, as written in the envelope, to its Go type. Processes of different versions
// exchange these names, so a kind keeps its name when its type is renamed.
var kinds = map[string]reflect.Type{
	"Probe":        reflect.TypeFor[Probe](),
	"ProbeAck":     reflect.TypeFor[ProbeAck](),
	"ProbeFor":     reflect.TypeFor[IndirectProbe](),
	"Prepare":      reflect.TypeFor[Prepare](),
	"Promise":      reflect.TypeFor[Promise](),
	"Accept":       reflect.TypeFor[Accept](),
	"Accepted":     reflect.TypeFor[Accepted](),
	"Query":        reflect.TypeFor[Query](),
	"State":        reflect.TypeFor[State](),
	"Release":      reflect.TypeFor[Release](),
	"Fetch":        reflect.TypeFor[FetchValue](),
	"Value":        reflect.TypeFor[FetchedValue](),
	"Renew":        reflect.TypeFor[Renew](),
	"Grant":        reflect.TypeFor[Grant](),
	"NotOwner":     reflect.TypeFor[NotOwner](),
	"News":         reflect.TypeFor[Updates](),
	"Heard":        reflect.TypeFor[Ack](),
	"Want":         reflect.TypeFor[EntryRequest](),
	"Removal":      reflect.TypeFor[DroppedEntries](),
	"Hold":         reflect.TypeFor[RouterLease](),
	"Hello":        reflect.TypeFor[RouterReport](),
	"Keep":         reflect.TypeFor[RecoveryQuery](),
	"Kept":         reflect.TypeFor[RecoveryReply](),
	"Taken":        reflect.TypeFor[ValueChosen](),
	"Forward":      reflect.TypeFor[ForwardChange](),
	"Forwarded":    reflect.TypeFor[ForwardReply](),
	"Listing":      reflect.TypeFor[ServerList](),
	"Look":         reflect.TypeFor[ReachQuery](),
	"Looked":       reflect.TypeFor[ReachReply](),
	"Beacons":      reflect.TypeFor[Announcements](),
	"BeaconsHeard": reflect.TypeFor[AnnouncementsAck](),
	"RollCall":     reflect.TypeFor[RegistryQuery](),
	"Roll":         reflect.TypeFor[RegistryReply](),
}

// kindNames maps the Go type of each message to its kind.
var kindNames = map[reflect.Type]string{}

func init() {
	for name, t := range kinds {
		kindNames[t] = name
	}
}

// Kind returns the name of a message's kind on the wire. A type that is not a message is named after its Go type.
func Kind(body any) string {
	t := reflect.TypeOf(body)
	if name, ok := kindNames[t]; ok {
		return name
	}
	return t.Name()
}

// envelopeHeader is the header of an envelope, without the body.
type envelopeHeader struct {
	From Peer   `json:"f"`
	To   Peer   `json:"t"`
	By   *Peer  `json:"v,omitempty"`
	Kind string `json:"k"`
}

// Pack encodes an envelope. Parts that are already encoded are copied unchanged: encoding/json would validate and
// copy a large configuration again at every nesting level and for every router.
func Pack(e Envelope) ([]byte, error) {
	body, err := encodeBody(e.Body)
	if err != nil {
		return nil, errors.Wrap(err, "pack body")
	}
	header := envelopeHeader{From: e.From, To: e.To, Kind: Kind(e.Body)}
	if e.RelayedBy.ID != "" {
		header.By = &e.RelayedBy
	}
	encoded, err := wirejson.Marshal(header, wireOptions)
	if err != nil {
		return nil, err
	}
	return withMember(encoded, "b", body), nil
}

// withMember appends a member to a non-empty JSON object.
func withMember(object []byte, name string, value []byte) []byte {
	out := make([]byte, 0, len(object)+len(name)+len(value)+len(`,"":`))
	out = append(out, object[:len(object)-1]...)
	out = append(out, `,"`...)
	out = append(out, name...)
	out = append(out, `":`...)
	out = append(out, value...)
	return append(out, '}')
}

func encodeBody(body any) ([]byte, error) {
	if updates, ok := body.(Updates); ok && len(updates.Items) > 0 {
		return updates.encode()
	}
	return wirejson.Marshal(body, wireOptions)
}

// Unpack decodes an envelope. An unknown kind of message is an error.
func Unpack(b []byte) (Envelope, error) {
	var w wireEnvelope
	if err := wirejson.Unmarshal(b, &w, wireOptions); err != nil {
		return Envelope{}, errors.Wrap(err, "unpack envelope")
	}
	t, ok := kinds[w.Kind]
	if !ok {
		return Envelope{}, errors.Errorf("unpack: unknown message kind %q", w.Kind)
	}
	p := reflect.New(t)
	if err := wirejson.Unmarshal(w.Body, p.Interface(), wireOptions); err != nil {
		return Envelope{}, errors.Wrapf(err, "unpack %s", w.Kind)
	}
	e := Envelope{From: w.From, To: w.To, Body: p.Elem().Interface()}
	if w.By != nil {
		e.RelayedBy = *w.By
	}
	return e, nil
}

// Membership.

// Member is the membership state of one process as spread by gossip.
type Member struct {
	Peer
	Role        string            `json:"role"`
	Zone        ident.Zone        `json:"zone"`
	Incarnation ident.Incarnation `json:"inc"`
	Status      string            `json:"life"`
}

// Probe asks a process whether it is alive.
type Probe struct {
	Seq    uint64
	Gossip []Member `json:"News"`
}

// ProbeAck answers a Probe, or an IndirectProbe on its target's behalf.
type ProbeAck struct {
	Seq    uint64
	Gossip []Member `json:"News"`
}

// IndirectProbe asks the receiver to probe Target on the sender's behalf.
type IndirectProbe struct {
	Seq    uint64
	Target Peer
	Gossip []Member `json:"News"`
}

// The replicated register.

// Ballot orders the rounds of the replicated register.
//
// It includes the incarnation of the proposing process: a restarted proposer may not know which numbers it used
// before, because they may not be on its disk, and one ballot must never carry two values.
type Ballot struct {
	N           uint64
	By          ident.Node
	Incarnation ident.Incarnation `json:"Life,omitempty"`
}

// Less orders ballots by number, then proposer, then the proposer's incarnation.
func (b Ballot) Less(other Ballot) bool {
	return cmp.Or(cmp.Compare(b.N, other.N), cmp.Compare(b.By, other.By), cmp.Compare(b.Incarnation, other.Incarnation)) < 0
}

// Voter is a voting core node, identified together with the incarnation of its disk.
type Voter struct {
	Peer
	Zone        ident.Zone        `json:"zone"`
	Incarnation ident.Incarnation `json:"inc"`
}

// SeedsChanged is an input, not a message: the settings file now lists other seeds.
type SeedsChanged struct{ Seeds []Peer }

// Change records an applied change, so that a repeated request gets the same answer and is not applied again.
type Change struct {
	ID    string      `json:"id"`
	Epoch ident.Epoch `json:"epoch"`
}

// Desired is the value of the replicated register: the plan exactly as submitted and its accompanying state.
type Desired struct {
	Gen            uint64       `json:"gen"`
	Epoch          ident.Epoch  `json:"epoch"`
	Plan           []byte       `json:"plan"`
	EmptiedZones   []ident.Zone `json:"empty"`
	Windows        []byte       `json:"windows,omitempty"`
	Voters         []Voter      `json:"voters"`
	PriorVoters    []Voter      `json:"prior,omitempty"`
	VoterSet       uint64       `json:"shape"`              // number of the voter set
	Founders       []Voter      `json:"founders,omitempty"` // voters with which the core formed; their disks have lost nothing since
	AppliedChanges []Change     `json:"done"`
}

// Newer reports whether d is newer than other; any state is newer than none.
func (d *Desired) Newer(other *Desired) bool {
	return other == nil || d.Gen > other.Gen || d.Gen == other.Gen && d.Epoch > other.Epoch
}

// Prepare starts a round. Known is the ballot of the newest value that the proposer knows to be chosen.
type Prepare struct {
	Round  uint64
	Ballot Ballot
	Known  Ballot `json:",omitzero"`
}

// Promise answers Prepare. Value is omitted if the proposer already knows the accepted value.
type Promise struct {
	Round       uint64
	OK          bool
	Incarnation ident.Incarnation `json:"Inc"`
	Promised    Ballot
	Accepted    Ballot
	Value       *Desired
}

// Accept asks voters to accept a value. A voter that accepts it also promises Next, so that the proposer can continue
// from Value without another Prepare. Chosen is the ballot of the newest value that the proposer knows to be chosen.
type Accept struct {
	Round  uint64
	Ballot Ballot
	Value  Desired
	Next   Ballot `json:",omitzero"`
	Chosen Ballot `json:",omitzero"`
}

// Accepted answers Accept.
type Accepted struct {
	Round       uint64
	OK          bool
	Incarnation ident.Incarnation `json:"Inc"`
	Promised    Ballot
}

// Query reads a voter's state and, with Claim set, requests a leadership lease for the given term.
type Query struct {
	Round uint64
	Claim bool
	Term  ident.Term `json:"Duty"`
}

// State answers Query.
type State struct {
	Round        uint64
	Incarnation  ident.Incarnation `json:"Inc"`
	Blank        bool
	Accepted     Ballot
	Chosen       Ballot `json:",omitzero"` // ballot of the newest value that this node knows to be chosen
	Epoch        ident.Epoch
	VoterSet     uint64 `json:"Shape"`
	Granted      bool
	Term         ident.Term `json:"Duty"` // highest term ever promised
	Owner        Peer       // current holder of the leadership lease, if any
	LastGrantee  ident.Node `json:"Last"`  // node to which this voter granted the lease last
	PriorGrantee ident.Node `json:"Prior"` // node to which it granted the lease before this answer
	Declining    bool       `json:"Shy"`   // the node released its lease and declines a new one for a while
	Leaving      bool       // the node is shutting down, and a spare node should take its seat
	// Digests of the departures that the node knows and of its last server list; zero if servers do not announce themselves.
	DeparturesDigest uint64 `json:"Departures,omitzero"`
	ListDigest       uint64 `json:"List,omitzero"`
	Founder          bool   `json:",omitzero"` // the disk is that of a seed of a system that started for the first time
}

// Release returns the leadership lease to the voters, because the leader is shutting down or has found that Successor can
// serve it better.
type Release struct {
	Term      ident.Term `json:"Duty"`
	Successor ident.Node `json:"Next"`
}

// ServerList is the server list as the leader last saw it; every core node stores it.
type ServerList struct {
	Term    ident.Term     `json:"Duty"`
	Servers []ListedServer `json:"List"`
}

// ReachQuery asks a core node whether it can reach the platform and how many of these servers it can reach.
type ReachQuery struct {
	Round   uint64
	Servers []ListedServer `json:"List"`
}

// ReachReply answers ReachQuery.
type ReachReply struct {
	Round     uint64
	Platform  bool
	Reachable int `json:"Servers"`
}

// FetchValue asks a core node for the newest value that it knows to be chosen if that is at least as new as Ballot, and
// otherwise for the value that it has accepted.
type FetchValue struct {
	Round  uint64
	Ballot Ballot `json:",omitzero"`
}

// FetchedValue answers FetchValue.
type FetchedValue struct {
	Round       uint64
	Incarnation ident.Incarnation `json:"Inc"`
	Accepted    Ballot
	Value       *Desired
	Chosen      bool `json:",omitempty"` // the value is known to be chosen; otherwise it is only accepted by the sender
}

// ValueChosen announces to the voters that a value was chosen. A voter that accepted the value already has it; any other
// can fetch it from the sender.
type ValueChosen struct {
	Epoch  ident.Epoch
	Ballot Ballot
}

// ForwardChange passes an operator's change to the leader, which proposes it. Number is assigned by the sender. Term is
// the leader's term: a receiver with another term refuses the change.
type ForwardChange struct {
	Number   uint64
	Term     ident.Term
	Op       string
	Raw      []byte
	Expect   ident.Epoch
	AnyEpoch bool        `json:"Any"`
	Revision ident.Epoch // revision that the operator assigns to the change; zero means the next one
	ChangeID string      `json:"Change"` // ID of the change
	Zone     ident.Zone
}

// ForwardReply answers ForwardChange with the outcome of the change.
type ForwardReply struct {
	Number   uint64
	NotOwner bool // the receiver is not the leader of that term and did nothing
	Kind     failure.Kind
	Reason   string `json:"Why"`
	Faults   fleetplan.Faults
	Epoch    ident.Epoch
	Empty    []ident.Zone
	Chosen   Ballot `json:",omitzero"` // ballot of the newest value that the sender knows to be chosen
}

// RecoveryQuery asks an agent for the newest desired state that it holds, for recovery after the loss of all core nodes'
// disks.
type RecoveryQuery struct{ Round uint64 }

// RecoveryReply answers RecoveryQuery.
type RecoveryReply struct {
	Round uint64
	Value *Desired
}

// Messages between routers and the core.

// Session identifies one session of a router with the leader. Placement entries are valid only within their
// session.
type Session struct {
	Node              ident.Node        `json:"node"`
	AgentIncarnation  ident.Incarnation `json:"agent"`
	RouterIncarnation ident.Incarnation `json:"router"`
	Num               uint64            `json:"n"`
}

// KeyLoad is a router's load for one key since its previous report.
type KeyLoad struct {
	Waiting       int     `json:"w"`           // requests waiting
	Running       int     `json:"a"`           // requests being processed
	Arrived       int     `json:"c"`           // requests that arrived
	TopValue      int     `json:"t"`           // highest request value among the waiting
	ServerSeconds float64 `json:"l,omitempty"` // server time in seconds that the arrived requests need
}

// Renew asks the leader to extend the session's lease.
type Renew struct {
	Session          Session
	Seq              uint64
	NewSession       bool `json:"Fresh"` // nothing has been received from a leader in this session
	Gen              uint64
	Epoch            ident.Epoch
	AckedNum         uint64                `json:"Heard"`
	KeyLoads         map[ident.Key]KeyLoad `json:"Burden"`
	TokensInProgress map[ident.Server]int  `json:"Seats"`               // tokens that this router has in progress at each server
	TokenTimes       map[ident.Key]float64 `json:"Paces"`               // shortest time per token, in ns, observed since the last renewal, by base model
	AppliesDeltas    bool                  `json:"Deltas,omitempty"`    // configurations may be sent as differences
	LoadUnchanged    bool                  `json:"Unchanged,omitempty"` // the load is omitted; that of the last report stands
}

// Grant extends the lease by Length, counted from the moment at which the router sent Renew Seq. A Length of zero extends
// nothing: the leader is available but waits for the router to apply the updates that it was sent.
type Grant struct {
	Session          Session
	Seq              uint64
	Length           clock.Span `json:"Len"`
	Term             ident.Term `json:"Duty"`
	Routers          int
	TokensInProgress map[ident.Server]int `json:"Seats"` // tokens that all routers together have in progress at each server that this router uses
	TokenTimes       *TokenTimes          `json:"Paces"` // only what has changed
}

// TokenTimes gives the time in ns that servers need per prompt token, as observed by all routers together.
type TokenTimes struct {
	Slowest float64               // of any base model
	ByBase  map[ident.Key]float64 `json:"Bases"`
}

// NotOwner answers a router that addressed a core node without the leadership lease. SessionEnded means that the leader
// has let the session expire, and the router must begin a new one.
//
// Majority means that a majority of the core answered this node recently: the receiver is connected to the core even
// while no node can determine the newest state.
//
// ConfigLease, if set, is a lease on the configuration alone, which any core node can grant: a majority reported nothing
// newer than Gen and Epoch. A router with that configuration may use it for that long after it sent Renew Seq, with
// any server except those in Leaving.
type NotOwner struct {
	Session      Session
	OwnerHint    Peer           `json:"Hint"`
	SessionEnded bool           `json:"Gone"`
	CoreNodes    []Peer         `json:"Cores"`
	Majority     bool           `json:",omitempty"`
	Seq          uint64         `json:",omitempty"`
	Gen          uint64         `json:",omitempty"`
	Epoch        ident.Epoch    `json:",omitempty"`
	ConfigLease  clock.Span     `json:"Fresh,omitempty"`
	Leaving      []ident.Server `json:",omitempty"`
}

// Replica is a server that has a key loaded and ready.
type Replica struct {
	Server      ident.Server      `json:"s"`
	Addr        string            `json:"a"`
	Zone        ident.Zone        `json:"z"`
	Incarnation ident.Incarnation `json:"i"`
	Slots       int               `json:"n"`
	ReadyFor    clock.Span        `json:"w"` // how long the replica had been ready when the entry was made
}

// Update is one numbered update of a router's state; exactly one of Desired, Entry and Break is set.
type Update struct {
	Num     uint64          `json:"n"`
	Desired *Desired        `json:"d,omitempty"`
	Entry   *Entry          `json:"e,omitempty"`
	Break   ident.Key       `json:"b,omitempty"`
	Delta   *DesiredDelta   `json:"x,omitempty"` // as received in place of Desired
	Base    *Desired        `json:"-"`           // desired state that the receiver has; Desired is sent as its difference from it
	Shared  *SharedEncoding `json:"-"`           // encoding of the desired state, the delta or the entry, shared by all receivers
}

// Entry is a placement entry. Its delivery registers a callback: the leader notifies the router before the entry
// changes.
type Entry struct {
	Key         ident.Key    `json:"k"`
	Digest      ident.Digest `json:"m"`
	Unchanged   bool         `json:"s,omitempty"` // the receiver's copy is still valid
	Replicas    []Replica    `json:"r,omitempty"`
	Unplaceable bool         `json:"x,omitempty"` // the entry is empty because no server has room for the key
	ReadyIn     clock.Span   `json:"o,omitempty"` // estimated time, from the creation of an empty entry, until it is filled
}

// Updates carries numbered updates in order.
type Updates struct {
	Session Session
	Term    ident.Term `json:"Duty"`
	LateAck bool       `json:"Late,omitempty"` // the next renewal acknowledges them early enough
	Items   []Update
}

// Ack acknowledges all updates up to Num.
type Ack struct {
	Session Session
	Num     uint64
}

// EntryRequest requests an entry and a callback on it. Digest is that of the router's current copy, if it has one.
type EntryRequest struct {
	Session Session
	Key     ident.Key
	Digest  ident.Digest `json:"Mark"`
	Waiting int
	Value   int
	More    []RequestedEntry `json:",omitempty"` // further entries that are requested
}

// RequestedEntry is a further entry of an EntryRequest.
type RequestedEntry struct {
	Key     ident.Key    `json:"k"`
	Digest  ident.Digest `json:"m,omitempty"`
	Waiting int          `json:"w,omitempty"`
	Value   int          `json:"v,omitempty"`
}

// DroppedEntry identifies an entry that a router discarded and the number of its delivery.
type DroppedEntry struct {
	Key ident.Key
	Num uint64
}

// DroppedEntries lists entries that a router discarded.
type DroppedEntries struct {
	Session Session
	Drops   []DroppedEntry
}

// RouterReport is a router's report to its agent: its incarnation, the state in force and its load.
type RouterReport struct {
	Incarnation      ident.Incarnation `json:"Router"`
	Session          Session
	Gen              uint64
	Epoch            ident.Epoch
	KeyLoads         map[ident.Key]KeyLoad `json:"Burden"`
	TokensInProgress map[ident.Server]int  `json:"Seats"`
	TokenTimes       map[ident.Key]float64 `json:"Paces"`
}

// RouterLease is the agent's lease to its router: the router may use this session until Until on the machine's monotonic
// clock, which both processes share.
type RouterLease struct {
	Session          Session
	Until            clock.Instant
	Term             ident.Term `json:"Duty"`
	Routers          int
	TokensInProgress map[ident.Server]int `json:"Seats"`
	TokenTimes       *TokenTimes          `json:"Paces"`
	Partitioned      bool                 `json:"Parted"` // every core node was queried and none answered: this machine is partitioned
	// Without the leader's lease the router may use the configuration until ConfigLeaseEnd, with servers that are not in
	// Leaving.
	ConfigLeaseEnd clock.Instant `json:"Current"`
	Leaving        []ident.Server
}

// Inputs and outputs of cores.

// TimerTick is the periodic timer input of a core.
type TimerTick struct{}

// Start is a core's first input and carries the contents of its disk.
type Start struct{ Disk map[string][]byte }

// Stop is a core's last input before a planned shutdown.
type Stop struct{}

// Save requests that key-value pairs are written and synced. Saves become durable in the order of the requests.
type Save struct {
	Token uint64
	Puts  map[string][]byte
}

// Saved reports that a Save is durable.
type Saved struct{ Token uint64 }

// Compute requests that Run is executed outside the core, because it may take longer than the core may block. Run
// accesses nothing that the core modifies.
type Compute struct {
	Token uint64
	Run   func()
}

// Computed reports to a core that a Compute has finished.
type Computed struct{ Token uint64 }

// HTTPRequest is an HTTP request to a model server or the platform.
type HTTPRequest struct {
	Token uint64
	Addr  string
	// Server is the intended recipient: another server may have taken over its address. If empty, any server at the
	// address may answer.
	Server    ident.Server
	Path      string
	Body      any
	Timeout   clock.Span    `json:"Wait"`
	ReuseConn bool          `json:"Kept"`  // the request changes nothing, so a reused connection may carry it
	NotAfter  clock.Instant `json:"Until"` // if set, the request is not sent after this moment
}

// HTTPResult is the result of an HTTPRequest. OK is false if there was no answer.
type HTTPResult struct {
	Token  uint64
	OK     bool
	Code   int
	Server ident.Server // server named in the answer, if any
	Body   []byte
}

// ErrorReport is an error that justifies writing out the in-memory log.
type ErrorReport struct{ Text string }

// LogLine is one line for the in-memory log.
type LogLine struct {
	Text   string
	Fields []Field
}

// Field is a named value of a log line.
type Field struct {
	Name  string
	Value any
}

// Servers, platform and store.

// Order is a command from the leader to a model server; an order without Op only requests the server's report.
type Order struct {
	Term        ident.Term        `json:"duty"`
	Num         uint64            `json:"num"`
	Incarnation ident.Incarnation `json:"inc,omitempty"`
	Op          string            `json:"op,omitempty"`
	Key         ident.Key         `json:"key,omitempty"`
	Size        int               `json:"size,omitempty"`
	// For servers that do not check fencing terms: the ordering node, and how many orders the server must have
	// accepted before.
	Owner             ident.Node `json:"owner,omitempty"`
	Expected          uint64     `json:"expected,omitempty"`
	QueriesCompletion bool       `json:"-"` // the order was accepted before; the sender asks whether it has completed
}

// HeldKey is the state of one key on a server, as in the server's report.
type HeldKey struct {
	Key    ident.Key `json:"key"`
	Size   int       `json:"size"`
	Stage  string    `json:"stage"` // loading, ready
	Active int       `json:"active"`
	AgeMs  int64     `json:"age_ms"` // time in the current stage
}

// ServerReport is the state of a model server as reported by the server. For servers that do not check fencing terms,
// Num is the number of orders that they have accepted, and Busy means that one is still being executed.
type ServerReport struct {
	Server      ident.Server      `json:"server"`
	Incarnation ident.Incarnation `json:"inc"`
	Term        ident.Term        `json:"duty"`
	Num         uint64            `json:"num"`
	Room        int               `json:"room"`
	Slots       int               `json:"slots"`
	Held        []HeldKey         `json:"held"`
	RefusedAs   failure.Kind      `json:"drop,omitempty"` // reason for which the order was refused
	Busy        bool              `json:"busy,omitempty"`
}

// ListedServer is one server in the platform's server list.
type ListedServer struct {
	ID    ident.Server `json:"id"`
	Addr  string       `json:"addr"`
	Zone  ident.Zone   `json:"zone"`
	State string       `json:"state"` // live, leaving, gone
	// For servers that announce themselves: their service and the number of requests that they process at once.
	Service string `json:"service,omitempty"`
	Slots   int    `json:"slots,omitempty"`
}

// Announcement is what a server announces about itself. Each start of a server has its own ID. Count orders the
// announcements of one start, which may be delayed and may arrive at any core node.
type Announcement struct {
	ListedServer
	Count     uint64      `json:"count"`
	TimeLeft  clock.Span  `json:"left,omitempty"` // the server leaves after this time, whatever it is running
	SlowFor   clock.Span  `json:"cold,omitempty"` // the server is slow for this long after its start
	ReadyKeys []ident.Key `json:"held,omitempty"` // keys that are loaded and ready
}

// Announcements carries announcements between core nodes. A nonzero AckID requests an acknowledgement.
type Announcements struct {
	AckID         uint64         `json:"Mark"`
	Announcements []Announcement `json:"List"`
}

// RegistryQuery asks a core node for every announced server that it knows; a new leader sends it.
type RegistryQuery struct {
	Term             ident.Term        `json:"Duty"`
	AskerIncarnation ident.Incarnation `json:"Life"`      // incarnation of the asker's process
	DeparturesOnly   bool              `json:",omitzero"` // only the servers that are leaving or gone are asked for
}

// RegistryReply answers RegistryQuery.
type RegistryReply struct {
	Term             ident.Term                  `json:"Duty"`
	AskerIncarnation ident.Incarnation           `json:"Life"` // incarnation of the asker's process, as in the query
	Incarnation      ident.Incarnation           `json:"Inc"`  // incarnation of the sender's disk
	Partial          bool                        // the sender's disk is new, and the sender has not yet received the registries of a majority
	Announcements    []Announcement              `json:"List"`
	DeparturesOnly   bool                        `json:",omitzero"`  // as in the query
	SilentFor        map[ident.Server]clock.Span `json:",omitempty"` // for departures: the time since each server was last heard
}

// AnnouncementsAck acknowledges Announcements: the sender has recorded them. OwnerConfirmed also means that the sender is
// the leader, and that no router's permission to send to any of these servers outlasts its router lease.
type AnnouncementsAck struct {
	AckID          uint64            `json:"Mark"`
	Incarnation    ident.Incarnation `json:"Inc"` // incarnation of the disk on which they are recorded
	OwnerConfirmed bool              `json:"Ruled"`
}

// ServerRequest is a request as sent to a model server.
type ServerRequest struct {
	AttemptID     string            `json:"go"`
	ID            string            `json:"id"`
	Model         string            `json:"model"`
	Adapter       string            `json:"adapter,omitempty"`
	Incarnation   ident.Incarnation `json:"inc"`
	Parts         []string          `json:"parts,omitempty"`
	Prompt        string            `json:"prompt"`
	MaxTokens     int               `json:"max_tokens"`
	NotRepeatable bool              `json:"once"` // the request must not be executed twice
	Tenant        string            `json:"tenant,omitempty"`
}
