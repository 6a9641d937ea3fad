// Package failure defines the closed set of error kinds and the table that maps each kind to an HTTP response.
package failure

import (
	"time"

	"tidedeck/internal/clock"
)

// Kind is an error kind.
type Kind string

// All error kinds.
const (
	None           Kind = ""
	Malformed      Kind = "malformed"
	Oversize       Kind = "oversize"
	HeadTooLong    Kind = "head_too_long"
	NoRoute        Kind = "no_route"
	NoKey          Kind = "no_key"
	NoModel        Kind = "no_model"
	NoKind         Kind = "no_kind"
	PastDue        Kind = "past_due"
	Full           Kind = "full"
	AllowanceSpent Kind = "allowance_spent"
	Expired        Kind = "expired"
	NotReady       Kind = "not_ready"
	Unclear        Kind = "unclear"
	Cut            Kind = "cut"
	Conflict       Kind = "conflict"
	FaultyPlan     Kind = "faulty_plan"
	Unknown        Kind = "unknown"
	StaleOrder     Kind = "stale_order"
	Mismatch       Kind = "mismatch"
	Busy           Kind = "busy"
	NoRoom         Kind = "no_room"
	Repeated       Kind = "repeated"
	Late           Kind = "late"
	Moved          Kind = "moved"
)

// Response describes how an error kind is reported to the client.
type Response struct {
	Status      int        // HTTP status
	NotExecuted bool       // the request was certainly not executed
	RetryAfter  clock.Span // when to retry; zero if a retry is useless
}

// Responses maps each error kind to its response.
var Responses = map[Kind]Response{
	Malformed:      {400, true, 0},
	Oversize:       {413, true, 0},
	HeadTooLong:    {431, true, 0},
	NoRoute:        {404, true, 0},
	NoKey:          {401, true, 0}, // the request carries no tenant's key
	NoModel:        {404, true, 0},
	NoKind:         {400, true, 0},
	PastDue:        {400, true, 0},
	Full:           {503, true, time.Second},
	AllowanceSpent: {503, true, 2 * time.Second},
	Expired:        {503, true, time.Second},
	NotReady:       {503, true, time.Second},
	Unclear:        {502, false, 0},
	Cut:            {502, false, 0},
	Conflict:       {409, true, 0},
	FaultyPlan:     {422, true, 0},
	Unknown:        {404, true, 0},
	StaleOrder:     {409, true, 0},
	Mismatch:       {409, true, 0},
	Busy:           {503, true, 500 * time.Millisecond},
	NoRoom:         {409, true, 0},
	Repeated:       {409, false, 0}, // an earlier attempt was executed, or may have been
	Late:           {503, true, 500 * time.Millisecond},
	Moved:          {503, true, 20 * time.Millisecond}, // the router's information about a server was outdated
}
