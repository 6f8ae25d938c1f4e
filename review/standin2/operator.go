package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"
)

// operator sends orders to control hosts until one acknowledges them.
type operator struct {
	deployment *deployment
	record     *record
	client     *http.Client
	version    int
	turn       int
}

func newOperator(d *deployment) *operator {
	return &operator{deployment: d, record: d.record, client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
}

var errUnacknowledged = errors.New("an order was not acknowledged in time")

// order sends an order to one control host after the other until it is acknowledged.
func (o *operator) order(method, path string, body []byte, within time.Duration) error {
	controls := o.deployment.of(roleControl)
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		target := controls[o.turn%len(controls)]
		request, err := http.NewRequest(method, "http://"+o.deployment.address(target, o.deployment.controlPort)+path, bytes.NewReader(body))
		if err != nil {
			return err
		}
		response, err := o.client.Do(request)
		if err != nil {
			o.turn++
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		o.record.add("operator: %s %s (version %d) to %s: %d", method, path, o.version, target.name, response.StatusCode)
		if response.StatusCode/100 == 2 {
			return nil
		}
		o.turn++
	}
	return errUnacknowledged
}

// route is a route of a configuration, in the platform's words.
type route struct {
	Name            string  `json:"name"`
	Host            string  `json:"host"`
	PathPrefix      string  `json:"pathPrefix"`
	RouteType       string  `json:"routeType"`
	TimeoutMS       float64 `json:"timeoutMs"`
	TargetLatencyMS float64 `json:"targetLatencyMs"`
	Priority        int     `json:"priority"`
	Service         string  `json:"service"`
	MaxAttempts     int     `json:"maxAttempts"`
}

// service is a service of a configuration, in the platform's words.
type service struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"healthPath"`
	MaxConns   int     `json:"maxConns"`
	Protocol   string  `json:"protocol"`
	TLS        bool    `json:"tls"`
	ColdStartS float64 `json:"coldStartS"`
	ColdPerS   float64 `json:"coldPerS"`
}

// configure sends the next version of a configuration.
func (o *operator) configure(routes []route, services []service, within time.Duration) error {
	o.version++
	body, err := json.Marshal(map[string]any{
		"version": o.version, "routes": routes, "services": services,
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		return err
	}
	return o.order(http.MethodPut, "/config", body, within)
}
