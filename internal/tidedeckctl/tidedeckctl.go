// Package tidedeckctl is the operator's command line: it speaks to a core node's admin API.
package tidedeckctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"tidedeck/internal/fleetplan"
	"tidedeck/internal/host"
)

// Line is tidedeckctl's command line.
type Line struct {
	Settings string        `help:"File of settings, JSON; flags go before it." type:"path"`
	Admin    []string      `help:"Admin addresses of core nodes, ip:port; the first that answers is asked." env:"TIDEDECK_ADMIN"`
	Wait     time.Duration `help:"For an answer, at the most." default:"8s"`

	Plan struct {
		Put struct {
			File   string `arg:"" help:"The plan; - for standard input."`
			Expect string `help:"Epoch that the plan goes on, or any." required:""`
			Change string `help:"Id of the change: a repeat under the same id is safe."`
		} `cmd:"" help:"Hand over a whole plan."`
		Patch struct {
			File   string `arg:"" help:"A JSON merge patch (RFC 7396); - for standard input."`
			Expect string `help:"Epoch that the change goes on, or any." required:""`
			Change string `help:"Id of the change."`
		} `cmd:"" help:"Make a small change to the plan."`
		Get   struct{} `cmd:"" help:"Read the plan back, byte for byte; its epoch goes to standard error."`
		Check struct {
			File string `arg:"" help:"The plan; - for standard input."`
		} `cmd:"" help:"Check a plan here, without handing it over."`
	} `cmd:"" help:"The fleet plan."`
	Zone struct {
		Empty struct {
			Zone   string `arg:""`
			Expect string `help:"Epoch that the change goes on, or any." default:"any"`
			Change string `help:"Id of the change."`
		} `cmd:"" help:"Empty a zone: it gets no new work."`
		Refill struct {
			Zone   string `arg:""`
			Expect string `help:"Epoch that the change goes on, or any." default:"any"`
			Change string `help:"Id of the change."`
		} `cmd:"" help:"Let a zone have work again."`
	} `cmd:"" help:"Zones."`
	Windows struct {
		Put struct {
			File   string `arg:"" help:"An iCalendar file; - for standard input."`
			Expect string `help:"Epoch that the change goes on, or any." default:"any"`
			Change string `help:"Id of the change."`
		} `cmd:"" help:"Hand over maintenance windows."`
	} `cmd:"" help:"Maintenance windows."`
	Requests struct {
		ID     string   `arg:"" optional:"" help:"The request's id; the newest requests if none is given."`
		Router []string `help:"Addresses of routers' own interface, ip:port; all are asked." required:"" env:"TIDEDECK_ROUTERS"`
		Last   int      `help:"Requests of each router, at the most." default:"100"`
	} `cmd:"" help:"Show what became of requests that failed or took more than one attempt."`
	Nodes   struct{} `cmd:"" help:"Show the nodes and the core's voters."`
	Servers struct{} `cmd:"" help:"Show servers and what they hold."`
	Holds   struct{} `cmd:"" help:"Show the routers' links and callbacks."`
	Status  struct{} `cmd:"" help:"Show a core node's own state."`
	Core    struct {
		Replace struct {
			Old string `arg:"" help:"Voter that goes."`
			New string `arg:"" help:"Node that takes its seat."`
		} `cmd:"" help:"Replace a core node by another."`
		Form struct{} `cmd:"" help:"Form a new core from the seeds that are there, all their disks blank."`
	} `cmd:"" help:"The core."`
}

// Check names what is wrong with the command line.
func (l *Line) Check() (f fleetplan.Faults) {
	for i, a := range l.Admin {
		f = append(f, host.Addr(fmt.Sprintf("admin[%d]", i), a)...)
	}
	for i, a := range l.Requests.Router {
		f = append(f, host.Addr(fmt.Sprintf("router[%d]", i), a)...)
	}
	return f
}

// Codes of tidedeckctl's exit.
const (
	OK      = 0
	Dropped = 1 // nothing changed
	Misused = 2
	Unclear = 3 // it is not known whether the change was taken
)

type call struct {
	how, path string
	expect    string
	change    string
	file      string
}

// Run runs one command; it gives the exit code.
func (l *Line) Run(cmd string, in io.Reader, out, err io.Writer) int {
	p := &l.Plan
	if cmd == "plan check <file>" {
		raw, e := read(p.Check.File, in)
		if e != nil {
			return fail(err, e, Misused)
		}
		if _, f := fleetplan.ReadPlan(raw); f != nil {
			for _, x := range f {
				fmt.Fprintf(err, "%s: %s\n", x.Path, x.Why)
			}
			return Dropped
		}
		fmt.Fprintln(out, "the plan is sound")
		return OK
	}
	if cmd == "requests" || cmd == "requests <id>" {
		return l.requests(out, err)
	}
	if len(l.Admin) == 0 {
		return fail(err, errors.New("--admin is missing: the addresses of core nodes"), Misused)
	}
	calls := map[string]call{
		"plan put <file>":          {http.MethodPut, "/plan", p.Put.Expect, p.Put.Change, p.Put.File},
		"plan patch <file>":        {http.MethodPatch, "/plan", p.Patch.Expect, p.Patch.Change, p.Patch.File},
		"plan get":                 {http.MethodGet, "/plan", "", "", ""},
		"zone empty <zone>":        {http.MethodPost, "/zones/" + l.Zone.Empty.Zone + "/empty", l.Zone.Empty.Expect, l.Zone.Empty.Change, ""},
		"zone refill <zone>":       {http.MethodPost, "/zones/" + l.Zone.Refill.Zone + "/refill", l.Zone.Refill.Expect, l.Zone.Refill.Change, ""},
		"windows put <file>":       {http.MethodPut, "/windows", l.Windows.Put.Expect, l.Windows.Put.Change, l.Windows.Put.File},
		"nodes":                    {http.MethodGet, "/nodes", "", "", ""},
		"servers":                  {http.MethodGet, "/servers", "", "", ""},
		"holds":                    {http.MethodGet, "/holds", "", "", ""},
		"status":                   {http.MethodGet, "/status", "", "", ""},
		"core replace <old> <new>": {http.MethodPost, "/core/replace/" + l.Core.Replace.Old + "/" + l.Core.Replace.New, "", "", ""},
		"core form":                {http.MethodPost, "/core/form", "", "", ""},
	}
	c, ok := calls[cmd]
	if !ok {
		return fail(err, errors.Errorf("no such command: %s", cmd), Misused)
	}
	var body []byte
	if c.file != "" {
		var e error
		if body, e = read(c.file, in); e != nil {
			return fail(err, e, Misused)
		}
	}
	if c.how != http.MethodGet && c.change == "" && c.expect != "" {
		// With an id of our own, asking a second node after a lost reply is safe.
		c.change = fmt.Sprintf("tidedeckctl-%d", host.NewInc())
	}
	return l.send(c, body, cmd, out, err)
}

func (l *Line) send(c call, body []byte, cmd string, out, err io.Writer) int {
	h := &http.Client{Timeout: l.Wait, Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	risky := false
	list := append([]string{}, l.Admin...)
	for i := 0; i < len(list); i++ {
		q, e := http.NewRequest(c.how, "http://"+list[i]+c.path, bytes.NewReader(body))
		if e != nil {
			return fail(err, e, Misused)
		}
		if c.expect != "" {
			q.Header.Set("X-Expect-Epoch", c.expect)
			q.Header.Set("X-Change-Id", c.change)
		}
		w, e := h.Do(q)
		if e != nil {
			var d *net.OpError
			risky = risky || !(errors.As(e, &d) && d.Op == "dial")
			fmt.Fprintf(err, "%s: %v\n", list[i], e)
			continue
		}
		b, e := io.ReadAll(w.Body)
		_ = w.Body.Close()
		if e != nil {
			risky = true
			continue
		}
		var a struct {
			Kind   string           `json:"kind"`
			Why    string           `json:"why"`
			Epoch  uint64           `json:"epoch"`
			Faults fleetplan.Faults `json:"faults"`
			View   any              `json:"view"`
		}
		if cmd == "plan get" && w.StatusCode == 200 {
			fmt.Fprintf(err, "epoch %s\n", w.Header.Get("X-Epoch"))
			_, _ = out.Write(b)
			return OK
		}
		if e := json.Unmarshal(b, &a); e != nil {
			fmt.Fprintf(err, "%s: status %d, no JSON\n", list[i], w.StatusCode)
			continue
		}
		if a.Kind == "not_ready" && i+1 < len(list) {
			continue // another node may own the duty, or know the core
		}
		if a.Kind == "" {
			if a.View != nil {
				e := json.NewEncoder(out)
				e.SetIndent("", "  ")
				_ = e.Encode(a.View)
			} else {
				fmt.Fprintf(out, "taken under epoch %d\n", a.Epoch)
			}
			return OK
		}
		fmt.Fprintf(err, "%s: %s\n", a.Kind, strings.TrimSpace(a.Why))
		for _, f := range a.Faults {
			fmt.Fprintf(err, "  %s: %s\n", f.Path, f.Why)
		}
		if a.Kind == "unclear" {
			return Unclear
		}
		return Dropped
	}
	if risky {
		return fail(err, errors.New("unclear: no answer came; repeat the command with the same --change"), Unclear)
	}
	return fail(err, errors.New("no core node answered"), Dropped)
}

func read(file string, in io.Reader) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(in)
	}
	return os.ReadFile(file)
}

func fail(w io.Writer, e error, code int) int {
	fmt.Fprintln(w, "tidedeckctl:", e)
	return code
}
