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

// requests asks every router what became of a request. The router that took it, if it failed there, knows.
func (l *Line) requests(out, err io.Writer) int {
	query := url.Values{"last": {strconv.Itoa(l.Requests.Last)}}
	if l.Requests.ID != "" {
		query.Set("id", l.Requests.ID)
	}
	client := &http.Client{Timeout: l.Wait}
	found, answered := []json.RawMessage{}, false
	for _, router := range l.Requests.Router {
		list, e := requestsAt(client, router, query)
		if e != nil {
			fmt.Fprintf(err, "%s: %v\n", router, e)
			continue
		}
		answered = true
		found = append(found, list...)
	}
	if !answered {
		return fail(err, errors.New("no router answered"), Dropped)
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(found)
	if len(found) == 0 {
		return Dropped
	}
	return OK
}

func requestsAt(client *http.Client, router string, query url.Values) ([]json.RawMessage, error) {
	answer, e := client.Get("http://" + router + "/-/requests?" + query.Encode())
	if e != nil {
		return nil, e
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return nil, errors.Errorf("status %d", answer.StatusCode)
	}
	var body struct {
		Requests []json.RawMessage `json:"requests"`
	}
	e = json.NewDecoder(answer.Body).Decode(&body)
	return body.Requests, e
}
