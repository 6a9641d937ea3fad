package tidedeckctl

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/go-faster/errors"
)

// listRequests queries every router for failed or retried requests. Only the router that handled a request has a record of it.
func (l *Line) listRequests(out, errOut io.Writer) int {
	query := url.Values{"last": {strconv.Itoa(l.Requests.Last)}}
	if l.Requests.ID != "" {
		query.Set("id", l.Requests.ID)
	}
	client := &http.Client{Timeout: l.Wait}
	found, answered := []json.RawMessage{}, false
	for _, router := range l.Requests.Router {
		list, err := fetchRequests(client, router, query)
		if err != nil {
			fmt.Fprintf(errOut, "%s: %v\n", router, err)
			continue
		}
		answered = true
		found = append(found, list...)
	}
	if !answered {
		return fail(errOut, errors.New("no router answered"), ExitRejected)
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(found)
	if len(found) == 0 {
		return ExitRejected
	}
	return ExitOK
}

func fetchRequests(client *http.Client, router string, query url.Values) ([]json.RawMessage, error) {
	response, err := client.Get("http://" + router + "/-/requests?" + query.Encode())
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("status %d", response.StatusCode)
	}
	var body struct {
		Requests []json.RawMessage `json:"requests"`
	}
	err = json.NewDecoder(response.Body).Decode(&body)
	return body.Requests, err
}
