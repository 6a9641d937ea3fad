package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"tidedeck/platform/peer"
)

// putConfiguration sends a whole configuration to one core machine after another until it is taken.
func (f *fleet) putConfiguration(c peer.Configuration, base uint64, limit time.Duration) error {
	raw, err := json.Marshal(c)
	if err != nil {
		return err
	}
	client := http.Client{Timeout: 2 * time.Second}
	last := ""
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		for _, m := range f.controllers {
			request, err := http.NewRequest(http.MethodPut, "http://"+hostPort(m.ip, portControl)+peer.PathConfiguration, bytes.NewReader(raw))
			if err != nil {
				return err
			}
			request.Header.Set("Content-Type", "application/json")
			request.Header.Set("If-Match", strconv.FormatUint(base, 10))
			response, err := client.Do(request)
			if err != nil {
				last = err.Error()
				continue
			}
			body, _ := io.ReadAll(io.LimitReader(response.Body, 4<<10))
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
			last = fmt.Sprintf("%d %s", response.StatusCode, body)
		}
	}
	return fmt.Errorf("configuration %d is not taken: %s", c.Revision, last)
}
