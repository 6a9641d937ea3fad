// Package tidedeckctl implements the operator's command line, a client of the core nodes' admin API.
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
	Settings string        `help:"Settings file in JSON; flags take precedence over it." type:"path"`
	Admin    []string      `help:"Admin addresses of core nodes, ip:port; the first that answers handles the command." env:"TIDEDECK_ADMIN"`
	Wait     time.Duration `help:"Maximum time to wait for a response." default:"8s"`

	Plan struct {
		Put struct {
			File   string `arg:"" help:"The plan; - for standard input."`
			Expect string `help:"Epoch that the plan is based on, or any." required:""`
			Change string `help:"Id of the change; repeating it with the same id is safe."`
		} `cmd:"" help:"Replace the complete plan."`
		Patch struct {
			File   string `arg:"" help:"A JSON merge patch (RFC 7396); - for standard input."`
			Expect string `help:"Epoch that the change is based on, or any." required:""`
			Change string `help:"Id of the change."`
		} `cmd:"" help:"Apply a change to the plan."`
		Get   struct{} `cmd:"" help:"Print the plan as stored; its epoch goes to standard error."`
		Check struct {
			File string `arg:"" help:"The plan; - for standard input."`
		} `cmd:"" help:"Validate a plan locally without sending it."`
	} `cmd:"" help:"The fleet plan."`
	Zone struct {
		Empty struct {
			Zone   string `arg:""`
			Expect string `help:"Epoch that the change is based on, or any." default:"any"`
			Change string `help:"Id of the change."`
		} `cmd:"" help:"Empty a zone: it receives no new work."`
		Refill struct {
			Zone   string `arg:""`
			Expect string `help:"Epoch that the change is based on, or any." default:"any"`
			Change string `help:"Id of the change."`
		} `cmd:"" help:"Allow work in a zone again."`
	} `cmd:"" help:"Zones."`
	Windows struct {
		Put struct {
			File   string `arg:"" help:"An iCalendar file; - for standard input."`
			Expect string `help:"Epoch that the change is based on, or any." default:"any"`
			Change string `help:"Id of the change."`
		} `cmd:"" help:"Replace the maintenance windows."`
	} `cmd:"" help:"Maintenance windows."`
	Requests struct {
		ID     string   `arg:"" optional:"" help:"The request's id; the newest requests if none is given."`
		Router []string `help:"Addresses of the routers' control interface, ip:port; all are queried." required:"" env:"TIDEDECK_ROUTERS"`
		Last   int      `help:"Maximum number of requests of each router." default:"100"`
	} `cmd:"" help:"Show the requests that failed or took more than one attempt."`
	Nodes   struct{} `cmd:"" help:"Show the nodes and the core's voters."`
	Servers struct{} `cmd:"" help:"Show the servers and the models that they hold."`
	Holds   struct{} `cmd:"" help:"Show the routers' links and callbacks."`
	Status  struct{} `cmd:"" help:"Show the state of a core node."`
	Core    struct {
		Replace struct {
			Old string `arg:"" help:"Voter to remove."`
			New string `arg:"" help:"Node that becomes a voter in its place."`
		} `cmd:"" help:"Replace one voter of the core with another node."`
		Form struct{} `cmd:"" help:"Form a new core from the reachable seeds, all of which must have empty disks."`
	} `cmd:"" help:"The core."`
}

// Check validates the addresses on the command line.
func (l *Line) Check() (f fleetplan.Faults) {
	for i, a := range l.Admin {
		f = append(f, host.CheckAddr(fmt.Sprintf("admin[%d]", i), a)...)
	}
	for i, a := range l.Requests.Router {
		f = append(f, host.CheckAddr(fmt.Sprintf("router[%d]", i), a)...)
	}
	return f
}

// Exit codes of tidedeckctl.
const (
	ExitOK       = 0
	ExitRejected = 1 // the command was rejected or not delivered; nothing changed
	ExitUsage    = 2
	ExitUnknown  = 3 // it is unknown whether the change was applied
)

// adminCall is a request to the admin API.
type adminCall struct {
	method, path string
	expect       string // epoch that the change is based on
	change       string // id of the change
	file         string // file with the body
}

// Run runs one command and returns the exit code.
func (l *Line) Run(cmd string, in io.Reader, out, errOut io.Writer) int {
	plan := &l.Plan
	if cmd == "plan check <file>" {
		raw, err := readFile(plan.Check.File, in)
		if err != nil {
			return fail(errOut, err, ExitUsage)
		}
		if _, faults := fleetplan.ReadPlan(raw); faults != nil {
			for _, fault := range faults {
				fmt.Fprintf(errOut, "%s: %s\n", fault.Path, fault.Why)
			}
			return ExitRejected
		}
		fmt.Fprintln(out, "the plan is valid")
		return ExitOK
	}
	if cmd == "requests" || cmd == "requests <id>" {
		return l.listRequests(out, errOut)
	}
	if len(l.Admin) == 0 {
		return fail(errOut, errors.New("--admin is missing: give the addresses of core nodes"), ExitUsage)
	}
	calls := map[string]adminCall{
		"plan put <file>":          {http.MethodPut, "/plan", plan.Put.Expect, plan.Put.Change, plan.Put.File},
		"plan patch <file>":        {http.MethodPatch, "/plan", plan.Patch.Expect, plan.Patch.Change, plan.Patch.File},
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
	call, ok := calls[cmd]
	if !ok {
		return fail(errOut, errors.Errorf("unknown command: %s", cmd), ExitUsage)
	}
	var body []byte
	if call.file != "" {
		var err error
		if body, err = readFile(call.file, in); err != nil {
			return fail(errOut, err, ExitUsage)
		}
	}
	if call.method != http.MethodGet && call.change == "" && call.expect != "" {
		// A generated id makes it safe to send the change to a second node after a lost response.
		call.change = fmt.Sprintf("tidedeckctl-%d", host.NewIncarnation())
	}
	return l.send(call, body, cmd, out, errOut)
}

func (l *Line) send(call adminCall, body []byte, cmd string, out, errOut io.Writer) int {
	client := &http.Client{Timeout: l.Wait, Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	maybeDelivered := false
	nodes := append([]string{}, l.Admin...)
	for i := 0; i < len(nodes); i++ {
		request, err := http.NewRequest(call.method, "http://"+nodes[i]+call.path, bytes.NewReader(body))
		if err != nil {
			return fail(errOut, err, ExitUsage)
		}
		if call.expect != "" {
			request.Header.Set("X-Expect-Epoch", call.expect)
			request.Header.Set("X-Change-Id", call.change)
		}
		response, err := client.Do(request)
		if err != nil {
			var opError *net.OpError
			maybeDelivered = maybeDelivered || !(errors.As(err, &opError) && opError.Op == "dial")
			fmt.Fprintf(errOut, "%s: %v\n", nodes[i], err)
			continue
		}
		raw, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			maybeDelivered = true
			continue
		}
		var reply struct {
			Kind   string           `json:"kind"`
			Why    string           `json:"why"`
			Epoch  uint64           `json:"epoch"`
			Faults fleetplan.Faults `json:"faults"`
			View   any              `json:"view"`
		}
		if cmd == "plan get" && response.StatusCode == 200 {
			fmt.Fprintf(errOut, "epoch %s\n", response.Header.Get("X-Epoch"))
			_, _ = out.Write(raw)
			return ExitOK
		}
		if err := json.Unmarshal(raw, &reply); err != nil {
			fmt.Fprintf(errOut, "%s: status %d, response is not JSON\n", nodes[i], response.StatusCode)
			continue
		}
		if reply.Kind == "not_ready" && i+1 < len(nodes) {
			continue // another node may own the duty or be in touch with the core
		}
		if reply.Kind == "" {
			if reply.View != nil {
				encoder := json.NewEncoder(out)
				encoder.SetIndent("", "  ")
				_ = encoder.Encode(reply.View)
			} else {
				fmt.Fprintf(out, "accepted under epoch %d\n", reply.Epoch)
			}
			return ExitOK
		}
		fmt.Fprintf(errOut, "%s: %s\n", reply.Kind, strings.TrimSpace(reply.Why))
		for _, fault := range reply.Faults {
			fmt.Fprintf(errOut, "  %s: %s\n", fault.Path, fault.Why)
		}
		if reply.Kind == "unclear" {
			return ExitUnknown
		}
		return ExitRejected
	}
	if maybeDelivered {
		return fail(errOut, errors.New("unclear: no response; repeat the command with the same --change"), ExitUnknown)
	}
	return fail(errOut, errors.New("no core node answered"), ExitRejected)
}

func readFile(file string, in io.Reader) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(in)
	}
	return os.ReadFile(file)
}

func fail(w io.Writer, err error, code int) int {
	fmt.Fprintln(w, "tidedeckctl:", err)
	return code
}
