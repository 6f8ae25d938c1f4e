package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// reply is what a client got.
type reply struct {
	id     string
	status int
	stamp  string
}

// ask sends one request to an entry host, as one client attempt with its own id.
func (s *system) ask(entry *host, path string, deadline time.Duration) reply {
	out := reply{id: fmt.Sprintf("%016x", rand.Uint64())}
	request, err := http.NewRequest(http.MethodGet, "http://"+s.frontAddress(entry)+path, nil)
	if err != nil {
		return out
	}
	request.Host = hostName
	request.Close = true
	request.Header.Set("Request-Id", out.id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	s.add("client: GET %s as %s to %s", path, out.id, entry.name)
	client := http.Client{Timeout: deadline}
	response, err := client.Do(request)
	if err != nil {
		s.add("client: %s got no answer: %v", out.id, err)
		return out
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	out.status, out.stamp = response.StatusCode, response.Header.Get("Server-Stamp")
	s.add("client: %s got %d, stamp %q, error %v", out.id, out.status, out.stamp, err)
	return out
}
