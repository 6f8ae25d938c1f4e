package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// client sends requests to one entry host at a steady rate, over kept connections.
type client struct {
	target  string
	record  *record
	http    *http.Client
	wait    time.Duration
	counter *atomic.Int64
	served  atomic.Int64
}

func newClient(target string, r *record, wait time.Duration, counter *atomic.Int64) *client {
	return &client{
		target: target, record: r, wait: wait, counter: counter,
		http: &http.Client{Timeout: wait, Transport: &http.Transport{MaxIdleConnsPerHost: 16, DisableCompression: true}},
	}
}

// send sends one request and returns the status, 0 if there is no answer.
func (c *client) send(method, host, path string) int {
	id := fmt.Sprintf("r%08d", c.counter.Add(1))
	request, err := http.NewRequest(method, "http://"+c.target+path, nil)
	if err != nil {
		return 0
	}
	request.Host = host
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(c.wait.Milliseconds(), 10))
	c.record.add("client sends %s to %s", id, c.target)
	response, err := c.http.Do(request)
	if err != nil {
		c.record.add("client: %s has no answer", id)
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	c.record.add("client: %s is answered %d %s", id, response.StatusCode, response.Header.Get("Server-Stamp"))
	if response.StatusCode/100 == 2 {
		c.served.Add(1)
	}
	return response.StatusCode
}

// run sends requests at an interval until stop is closed.
func (c *client) run(host, path string, interval time.Duration, stop <-chan struct{}, running *sync.WaitGroup) {
	defer running.Done()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			running.Add(1)
			go func() {
				defer running.Done()
				c.send(http.MethodGet, host, path)
			}()
		}
	}
}

// await sends requests until one succeeds, and reports whether one did.
func (c *client) await(host, path string, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if c.send(http.MethodGet, host, path)/100 == 2 {
			return true
		}
	}
	return false
}
