package host

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A shutdown whose time is over cuts off requests that could still be answered.
func TestShutDownEndsRequestsWhenItsTimeIsOver(t *testing.T) {
	arrived, timeOver := make(chan struct{}), make(chan struct{})
	endRequest := sync.OnceFunc(func() { close(timeOver) })
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(arrived)
		<-timeOver
		w.WriteHeader(http.StatusBadGateway)
	}))
	defer server.Close()
	defer endRequest()
	status := make(chan int, 1)
	go func() {
		defer close(status)
		response, err := http.Get(server.URL)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		status <- response.StatusCode
	}()
	<-arrived
	began := false
	hooks := StopHooks{Begin: func() { began = true }, TimeOver: endRequest}
	require.NoError(t, shutDown(server.Config, hooks, time.Millisecond))
	require.True(t, began)
	require.Equal(t, http.StatusBadGateway, <-status)
}
