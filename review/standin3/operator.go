package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

type serviceConfig struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"healthPath"`
	MaxConns   int     `json:"maxConns"`
	Protocol   string  `json:"protocol"`
	TLS        bool    `json:"tls"`
	ColdStartS float64 `json:"coldStartS"`
	ColdPerS   float64 `json:"coldPerS"`
}

type routeConfig struct {
	Name            string   `json:"name"`
	Host            string   `json:"host"`
	PathPrefix      string   `json:"pathPrefix"`
	RouteType       string   `json:"routeType"`
	TimeoutMS       float64  `json:"timeoutMs"`
	TargetLatencyMS float64  `json:"targetLatencyMs"`
	Priority        int      `json:"priority"`
	Service         string   `json:"service,omitempty"`
	Gather          []string `json:"gather,omitempty"`
	MaxAttempts     int      `json:"maxAttempts"`
	TopK            int      `json:"topK,omitempty"`
	MinCoverage     float64  `json:"minCoverage,omitempty"`
	Public          bool     `json:"public,omitempty"`
}

type tenantConfig struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"apiKeys"`
	RatePerS float64  `json:"ratePerS,omitempty"`
	Burst    float64  `json:"burst,omitempty"`
}

type config struct {
	Version  uint64          `json:"version"`
	Routes   []routeConfig   `json:"routes"`
	Services []serviceConfig `json:"services"`
	Limits   map[string]int  `json:"limits"`
	Tenants  *[]tenantConfig `json:"tenants,omitempty"`
}

var siteLimits = map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}

func service(name string, conns int) serviceConfig {
	return serviceConfig{Name: name, HealthPath: "/health", MaxConns: conns, Protocol: "h1", ColdStartS: 3}
}

// call sends one call of the operator to a control host and returns the status, 0 without an answer.
func call(method, url string, body []byte) (int, []byte) {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/json")
	r, err := c.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = r.Body.Close() }()
	out, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, nil
	}
	return r.StatusCode, out
}

// order sends an order until it gets a clear answer, to one control host after the other.
func (d *deployment) order(method, path string, body []byte, limit time.Duration) (int, bool) {
	pause := 50 * time.Millisecond
	for i, end := 0, time.Now().Add(limit); time.Now().Before(end); i++ {
		h := d.controls[i%len(d.controls)]
		status, _ := call(method, fmt.Sprintf("http://%s:%d%s", h.ip, controlPort, path), body)
		d.record.line("operator: %s %s (%d bytes) to %s: %d", method, path, len(body), h.name, status)
		if status >= 200 && status < 300 {
			return status, true
		}
		if status == 400 || status == 409 || status == 412 || status == 413 || status == 422 {
			return status, false
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return 0, false
}

// configure sends a configuration until it is acknowledged.
func (d *deployment) configure(c config, limit time.Duration) bool {
	body, err := json.Marshal(c)
	if err != nil {
		return false
	}
	d.record.line("operator: configuration %s", body)
	_, ok := d.order(http.MethodPut, "/config", body, limit)
	return ok
}
