package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// configuration is the document of the operator.
type configuration struct {
	Version  int       `json:"version"`
	Routes   []route   `json:"routes"`
	Services []service `json:"services"`
	Limits   limits    `json:"limits"`
}

type route struct {
	Name            string `json:"name"`
	Host            string `json:"host"`
	PathPrefix      string `json:"pathPrefix"`
	RouteType       string `json:"routeType"`
	TimeoutMs       int    `json:"timeoutMs"`
	TargetLatencyMs int    `json:"targetLatencyMs"`
	Priority        int    `json:"priority"`
	Service         string `json:"service"`
	MaxAttempts     int    `json:"maxAttempts"`
}

type service struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"healthPath"`
	MaxConns   int     `json:"maxConns"`
	Protocol   string  `json:"protocol"`
	TLS        bool    `json:"tls"`
	ColdStartS float64 `json:"coldStartS"`
	ColdPerS   float64 `json:"coldPerS"`
}

type limits struct {
	MaxHeaderBytes  int `json:"maxHeaderBytes"`
	MaxBodyBytes    int `json:"maxBodyBytes"`
	HeaderTimeoutMs int `json:"headerTimeoutMs"`
	IdleTimeoutMs   int `json:"idleTimeoutMs"`
}

const (
	// coldStart is how long a leaf is cold, and coldPerS the requests per second that it tolerates meanwhile.
	coldStart = 3 * time.Second
	coldPerS  = 10.0

	hostName    = "desk.example"
	serviceName = "records"
	// otherService is served by other leaves, under a route of its own.
	otherService = "accounts"
	otherPrefix  = "/accounts/"
)

// newConfiguration returns a configuration with one safe route for each prefix to one service, and one route to the other
// service.
func newConfiguration(version int, prefixes ...string) configuration {
	out := configuration{
		Version: version,
		Services: []service{
			{Name: serviceName, HealthPath: "/health", MaxConns: 110, Protocol: "h1", ColdStartS: coldStart.Seconds(), ColdPerS: coldPerS},
			{Name: otherService, HealthPath: "/health", MaxConns: 110, Protocol: "h1", ColdStartS: 3},
		},
		Limits: limits{MaxHeaderBytes: 16384, MaxBodyBytes: 262144, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
	}
	add := func(prefix, service string) {
		out.Routes = append(out.Routes, route{
			Name: fmt.Sprintf("r-%d", len(out.Routes)), Host: hostName, PathPrefix: prefix, RouteType: "safe", TimeoutMs: 6000, TargetLatencyMs: 400,
			Priority: 2, Service: service, MaxAttempts: 2,
		})
	}
	for _, prefix := range prefixes {
		add(prefix, serviceName)
	}
	add(otherPrefix, otherService)
	return out
}

// configure sends a configuration to the control hosts in turn until one acknowledges it, and returns when it did.
func (s *system) configure(c configuration) (time.Time, error) {
	body, err := json.Marshal(c)
	if err != nil {
		return time.Time{}, err
	}
	return s.order(http.MethodPut, "/config", body, 0)
}

// order sends an order to the control hosts in turn, the given one first, until one acknowledges it.
func (s *system) order(method, path string, body []byte, first int) (time.Time, error) {
	end := time.Now().Add(startTimeout)
	for i := first; time.Now().Before(end); i++ {
		control := s.controls[i%len(s.controls)]
		status, err := s.orderAt(control, method, path, body)
		if err == nil && status == http.StatusOK {
			return time.Now(), nil
		}
		time.Sleep(2 * pollInterval)
	}
	return time.Time{}, fmt.Errorf("%s %s was not acknowledged", method, path)
}

// orderAt sends an order to one control host and waits for a second.
func (s *system) orderAt(control *host, method, path string, body []byte) (int, error) {
	request, err := http.NewRequest(method, "http://"+s.controlAddress(control)+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Close = true
	client := http.Client{Timeout: time.Second}
	response, err := client.Do(request)
	if err != nil {
		s.add("operator: %s %s to %s: no response: %v", method, path, control.name, err)
		return 0, err
	}
	_ = response.Body.Close()
	s.add("operator: %s %s to %s: %d", method, path, control.name, response.StatusCode)
	return response.StatusCode, nil
}
