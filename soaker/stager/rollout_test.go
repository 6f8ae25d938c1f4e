package stager_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/leafd/provider"
	"lycheelift.example/soaker/stager"
)

// rolloutDuration is the duration of the orders, and settleWait the time after which all hosts know all leaves.
const (
	rolloutDuration = 25 * time.Second
	settleWait      = 3 * time.Second
	replicas        = 3
	callers         = 6
)

const rolloutConfiguration = `{"version":1,"services":[{"name":"good","maxConns":100},{"name":"bad","maxConns":100},{"name":"late","maxConns":100}],"limits":{},"routes":[
{"name":"good","host":"n.example","pathPrefix":"/good/","routeType":"safe","timeoutMs":1500,"targetLatencyMs":200,"priority":1,"maxAttempts":2,"service":"good"},
{"name":"late","host":"n.example","pathPrefix":"/late/","routeType":"safe","timeoutMs":1500,"targetLatencyMs":200,"priority":1,"maxAttempts":2,"service":"late"},
{"name":"bad","host":"n.example","pathPrefix":"/bad/","routeType":"safe","timeoutMs":1500,"targetLatencyMs":200,"priority":1,"maxAttempts":2,"service":"bad"},
{"name":"other","host":"n.example","pathPrefix":"/other/","routeType":"safe","timeoutMs":1500,"targetLatencyMs":200,"priority":1,"maxAttempts":2,"service":"bad"}]}`

// rolloutStage is a deployment of real hosts with leaves of two versions of two services.
type rolloutStage struct {
	t          *testing.T
	ctx        context.Context //nolint:containedctx // The context of one test.
	deployment *stager.Deployment
	subnet     int
	leaves     int

	mu sync.Mutex
	// runs counts the requests that ran by service and version.
	runs   map[string]int
	failed atomic.Int64
	sent   atomic.Int64
}

// startLeaves starts the leaves of a version of a service, and returns a function that stops them at once.
func (s *rolloutStage) startLeaves(service, version string, b provider.Behaviour) ([]*provider.Leaf, context.CancelFunc) {
	ctx, cancel := context.WithCancel(s.ctx)
	var out []*provider.Leaf
	var controls []string
	for _, h := range s.deployment.Controls {
		controls = append(controls, h.Address)
	}
	for i := range replicas {
		s.leaves++
		l := provider.New(provider.Config{
			Name: fmt.Sprintf("%s-%s-%d", service, version, i), Service: service, Center: string(rune('a' + i)), Program: version,
			Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(s.subnet), 3, 1}), uint16(9000+s.leaves)),
			Controls: func() []string { return controls }, Slots: 64, HeartbeatInterval: 500 * time.Millisecond, Seed: uint64(s.leaves),
			OnRun: func(*provider.Leaf, string, time.Time) {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.runs[service+" "+version]++
			},
		})
		l.SetBehaviour(b)
		qt.Assert(s.t, l.Start(ctx), qt.IsNil)
		out = append(out, l)
	}
	return out, cancel
}

func (s *rolloutStage) ran(service, version string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[service+" "+version]
}

// operate sends a request of an operator to the control hosts in turn until one answers with another status than 503.
func (s *rolloutStage) operate(method, path, body string) (int, string) {
	for i := 0; ; i++ {
		status, text := s.operateOn(s.deployment.Controls[i%len(s.deployment.Controls)], method, path, body)
		if status != 0 && status != http.StatusServiceUnavailable {
			return status, text
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (s *rolloutStage) operateOn(h *stager.Host, method, path, body string) (int, string) {
	ctx, cancel := context.WithTimeout(s.ctx, 1500*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+h.Address+path, bytes.NewReader([]byte(body)))
	qt.Assert(s.t, err, qt.IsNil)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	out, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(out)
}

func (s *rolloutStage) order(service string) int {
	status, _ := s.operate(http.MethodPost, "/rollouts", fmt.Sprintf(`{"service":%q,"targetVersion":"v2","durationS":%d}`, service, int(rolloutDuration.Seconds())))
	return status
}

func (s *rolloutStage) state(service string) string {
	_, text := s.operate(http.MethodGet, "/rollouts/"+service, "")
	var out struct {
		State string `json:"state"`
	}
	qt.Assert(s.t, json.Unmarshal([]byte(text), &out), qt.IsNil, qt.Commentf(text))
	return out.State
}

// send sends requests of one caller to the routes in turn until ctx ends.
func (s *rolloutStage) send(ctx context.Context, number int) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: 3 * time.Second}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		host := s.deployment.Entries[(number+i/50)%len(s.deployment.Entries)]
		path := []string{"good", "bad", "other", "late"}[i%4]
		request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, fmt.Sprintf("http://%s/%s/%d", host.Address, path, i), nil)
		if err != nil {
			s.failed.Add(1)
			return
		}
		request.Host = "n.example"
		request.Header.Set("Request-Id", fmt.Sprintf("c%d-%d", number, i))
		request.Header.Set("Deadline-Ms", "1500")
		s.sent.Add(1)
		response, err := client.Do(request)
		if err != nil {
			s.failed.Add(1)
			continue
		}
		if response.StatusCode != http.StatusOK {
			s.failed.Add(1)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards, with real processes, against leaves of a version that get requests before their order; a good version that does not
// succeed by its deadline or whose success is reported while the old leaves are still needed; a version that is bad on one
// route, or becomes slow later, and is not rolled back, exceeds its exposure or gets requests after its rollback; an order that is lost with all
// control hosts; and a repeated order that is not recognised.
func TestRollouts(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "fleetd")
	out, err := exec.Command("go", "build", "-o", binary, "lycheelift.example/fleetd").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := &rolloutStage{t: t, ctx: ctx, subnet: 64 + os.Getpid()%150, runs: make(map[string]int)}
	s.deployment, err = stager.New(binary, t.TempDir(), s.subnet, 3, 3, "exposure = 0.1", "exposureslack = 50", `rollback = "5s"`)
	qt.Assert(t, err, qt.IsNil)
	defer s.deployment.Stop()
	usual := provider.Behaviour{WorkTime: 5 * time.Millisecond}
	_, stopOld := s.startLeaves("good", "v1", usual)
	s.startLeaves("bad", "v1", usual)
	s.startLeaves("late", "v1", usual)
	for _, h := range s.deployment.Hosts() {
		qt.Assert(t, h.Start(), qt.IsNil)
	}
	status, _ := s.operate(http.MethodPut, "/config", rolloutConfiguration)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	time.Sleep(settleWait)
	s.startLeaves("good", "v2", usual)
	s.startLeaves("bad", "v2", provider.Behaviour{WorkTime: 5 * time.Millisecond, Fail: 0.5, Only: "/other/"})
	late, _ := s.startLeaves("late", "v2", usual)
	load, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() { s.send(load, i) })
	}
	time.Sleep(settleWait)
	qt.Check(t, s.ran("good", "v2")+s.ran("bad", "v2")+s.ran("late", "v2"), qt.Equals, 0)
	qt.Check(t, s.ran("good", "v1") > 0, qt.IsTrue)
	status, _ = s.operate(http.MethodGet, "/rollouts/good", "")
	qt.Check(t, status, qt.Equals, http.StatusNotFound)

	before := map[string]int{"bad": s.ran("bad", "v1"), "late": s.ran("late", "v1")}
	began := time.Now()
	for _, service := range []string{"good", "bad", "late"} {
		qt.Assert(t, s.order(service), qt.Equals, http.StatusOK)
		qt.Assert(t, s.order(service), qt.Equals, http.StatusConflict)
	}
	// All control hosts lose power at once.
	for _, h := range s.deployment.Controls {
		h.Signal(syscall.SIGKILL)
	}
	for _, h := range s.deployment.Controls {
		h.Wait()
		qt.Assert(t, h.Restart(), qt.IsNil)
	}
	time.Sleep(rolloutDuration/3 - time.Since(began))
	for _, l := range late {
		l.SetBehaviour(provider.Behaviour{WorkTime: 5 * time.Millisecond, Slow: 8})
	}
	ended, exposed := make(map[string]time.Duration), make(map[string]int)
	for len(ended) < 2 && time.Since(began) < rolloutDuration {
		time.Sleep(100 * time.Millisecond)
		for service := range before {
			if _, known := ended[service]; !known && s.state(service) != "running" {
				ended[service] = time.Since(began)
			}
		}
	}
	time.Sleep(time.Second)
	for service := range before {
		exposed[service] = s.ran(service, "v2")
	}
	for s.state("good") == "running" && time.Since(began) < rolloutDuration {
		time.Sleep(100 * time.Millisecond)
	}
	succeededAt := time.Since(began)
	stopOld()
	atSuccess, failedBefore := s.ran("good", "v1"), s.failed.Load()
	time.Sleep(settleWait)
	stopLoad()
	group.Wait()
	t.Logf("rolled back after %v with %v calls; good succeeded after %s; %d requests, %d failed before the old leaves were stopped and %d in all",
		ended, exposed, succeededAt, s.sent.Load(), failedBefore, s.failed.Load())
	qt.Check(t, s.state("good"), qt.Equals, "succeeded")
	for service, earlier := range before {
		qt.Check(t, s.state(service), qt.Equals, "rolled_back")
		seen := s.ran(service, "v1") - earlier + exposed[service]
		qt.Check(t, float64(exposed[service]) <= 0.1*float64(seen)+50, qt.IsTrue, qt.Commentf("%s: %d of %d", service, exposed[service], seen))
		qt.Check(t, s.ran(service, "v2"), qt.Equals, exposed[service])
	}
	qt.Check(t, s.ran("good", "v1"), qt.Equals, atSuccess)
	qt.Check(t, s.failed.Load(), qt.Equals, failedBefore)
	qt.Check(t, s.order("good"), qt.Equals, http.StatusOK)
	qt.Check(t, s.state("good"), qt.Equals, "succeeded")
	if t.Failed() {
		for _, h := range s.deployment.Hosts() {
			text, _ := os.ReadFile(h.LogFile())
			t.Logf("%s:\n%s", h.Name, text)
		}
	}
}
