package explainer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/samber/oops"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/types/known/durationpb"

	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// jsonAnswer is the JSON form of an Answer.
type jsonAnswer struct {
	Address  string          `json:"address"`
	Error    string          `json:"error,omitempty"`
	Response json.RawMessage `json:"response,omitempty"`
}

// WriteJSON writes the answers as a JSON list.
func WriteJSON(w io.Writer, answers []Answer) error {
	list := make([]jsonAnswer, 0, len(answers))
	for _, a := range answers {
		item := jsonAnswer{Address: a.Address}
		if a.Err != nil {
			item.Error = a.Err.Error()
		} else {
			data, err := protojson.Marshal(a.Response)
			if err != nil {
				return oops.In("explainer").Wrapf(err, "format the answer of %s", a.Address)
			}
			item.Response = data
		}
		list = append(list, item)
	}
	data, err := json.Marshal(list)
	if err != nil {
		return oops.In("explainer").Wrapf(err, "format the answers")
	}
	var out bytes.Buffer // protojson varies its whitespace on purpose; Indent makes the output stable for scripts.
	if err := json.Indent(&out, data, "", "  "); err != nil {
		return oops.In("explainer").Wrapf(err, "format the answers")
	}
	_, err = fmt.Fprintln(w, out.String())
	return oops.In("explainer").Wrap(err)
}

// WriteText writes the answer of one host in full, and the answers of several side by side.
func WriteText(w io.Writer, answers []Answer) {
	if len(answers) > 1 {
		writeComparison(w, answers)
		return
	}
	for _, a := range answers {
		if a.Err != nil {
			fmt.Fprintf(w, "%s: no answer: %s\n", a.Address, a.Err)
			continue
		}
		writeOne(w, a.Response)
	}
}

func writeOne(w io.Writer, m *peerv1.ExplainResponse) {
	for _, row := range summary(m) {
		fmt.Fprintf(w, "%-14s %s\n", row.label, row.text)
	}
	for _, s := range m.GetShards() {
		writeShard(w, s)
	}
	for _, p := range m.GetPortions() {
		writePortion(w, p)
	}
}

// row is one line of the summary of an answer.
type row struct{ label, text string }

func summary(m *peerv1.ExplainResponse) []row {
	out := []row{
		{"host", fmt.Sprintf("%s (%s)", m.GetHost(), m.GetCenter())},
		{"configuration", describeVersion(m)},
		{"route", describeRoute(m)},
		{"tenant", orDash(m.GetTenant())},
		{"quota", describeQuota(m.GetQuota())},
		{"result", describeResult(m)},
	}
	if len(m.GetEvacuated()) > 0 {
		out = append(out, row{"evacuated", strings.Join(m.GetEvacuated(), " ")})
	}
	if m.GetTypical() != nil {
		out = append(out, row{"latency", fmt.Sprintf("typical %s, hedge at %s", duration(m.GetTypical()), duration(m.GetHedge()))})
	}
	return out
}

func describeVersion(m *peerv1.ExplainResponse) string {
	out := "none"
	if m.GetVersion() > 0 {
		out = "version " + strconv.FormatUint(m.GetVersion(), 10)
	}
	if m.GetStale() == nil {
		return out + ", no contact with a leader yet"
	}
	return out + ", last contact with a leader " + duration(m.GetStale()) + " ago"
}

func describeRoute(m *peerv1.ExplainResponse) string {
	if m.GetRoute() == "" {
		return "-"
	}
	out := fmt.Sprintf("%s, priority %d", m.GetRoute(), m.GetPriority())
	if m.GetPublic() {
		out += ", public"
	}
	return out
}

func describeQuota(q *peerv1.ExplainQuota) string {
	switch {
	case q == nil:
		return "-"
	case !q.GetLimited():
		return "no limit"
	}
	out := fmt.Sprintf("%s/s, burst %s", number(q.GetRate()), number(q.GetBurst()))
	if !q.GetKnown() {
		return out + ", this host keeps no tokens"
	}
	if q.GetStock() > 0 {
		out += fmt.Sprintf(", %s tokens here for %s", number(q.GetStock()), duration(q.GetValid()))
	} else {
		out += ", no tokens here: the coordinator decides"
	}
	if q.GetSilence() != nil {
		out += ", no coordinator has answered for " + duration(q.GetSilence())
	}
	return out
}

func describeResult(m *peerv1.ExplainResponse) string {
	out := ""
	if r := m.GetRejection(); r != nil {
		out = fmt.Sprintf("rejected with %d by the check %q: %s", r.GetStatus(), r.GetCheck(), r.GetReason())
		if r.GetRetry() != nil {
			out += ", Retry-After " + duration(r.GetRetry())
		}
	} else {
		out = describeSending(m)
	}
	if m.GetStopping() != nil {
		out += "; the host stops and ends in " + duration(m.GetStopping())
	}
	return out
}

func describeSending(m *peerv1.ExplainResponse) string {
	if n := len(m.GetPortions()); n > 0 {
		return fmt.Sprintf("divided into %d portions", n)
	}
	callable := 0
	for _, s := range m.GetShards() {
		if s.GetLeaf() != "" || s.GetTrial().GetLeaf() != "" {
			callable++
		}
	}
	out := fmt.Sprintf("sent to a leaf of %d of %d services, %d needed", callable, len(m.GetShards()), m.GetNeeded())
	if callable < int(m.GetNeeded()) {
		out += ": the answer will be incomplete or fail"
	}
	return out
}

func writeShard(w io.Writer, s *peerv1.ExplainShard) {
	fmt.Fprintf(w, "\nservice %s", s.GetService())
	if s.GetShare() < 1 {
		fmt.Fprintf(w, " (%s%% of the requests)", number(percent*s.GetShare()))
	}
	fmt.Fprintf(w, ": %s\n", describeChoice(s))
	if s.GetRollout() != nil {
		fmt.Fprintf(w, "  rollout %s\n", describeRollout(s))
	}
	writeLeaves(w, s)
	if trial := s.GetTrial(); trial != nil {
		fmt.Fprintf(w, "  %s: %s\n", trialLabel(trial), describeTrial(trial))
		writeLeaves(w, trial)
	}
}

func writeLeaves(w io.Writer, s *peerv1.ExplainShard) {
	if len(s.GetLeaves()) == 0 {
		return
	}
	table := newTable(w, "leaf", "address", "centre", "program", "state", "cold for", "calls", "slots", "reported load", "assumed load", "reported slowness", "assumed slowness", "latency", "failures", "cost")
	for _, l := range s.GetLeaves() {
		table.add("  "+l.GetLeaf(), l.GetAddress(), l.GetCenter(), orDash(l.GetProgram()), describeState(l), duration(l.GetCold()), fmt.Sprint(l.GetCalls()), fmt.Sprint(l.GetSlots()),
			describeLoad(l), number(l.GetAssumed()), describeSlowness(l), optionalNumber(l.Expected), number(l.GetRatio()), number(percent*l.GetFailure())+"%", optionalNumber(l.Cost))
	}
	table.flush()
}

const percent = 100

// describeRollout describes the newest rollout of a service, the share in force and the group that the other calls are drawn from.
func describeRollout(s *peerv1.ExplainShard) string {
	r := s.GetRollout()
	out := fmt.Sprintf("%s in use", orDash(r.GetBaseline()))
	if r.GetProgress() != "" {
		out += fmt.Sprintf(", %s ordered, %s", r.GetTarget(), r.GetProgress())
	}
	if r.GetProgress() == progressRunning {
		out += " with a share of " + number(percent*r.GetShare()) + "%"
	}
	if r.GetSuspended() {
		out += ", which is not used without contact to a leader"
	}
	return out + "; drawn from the group " + orDash(s.GetGroup())
}

func trialLabel(trial *peerv1.ExplainShard) string {
	return fmt.Sprintf("%s%% of the first calls, drawn from the group %s", number(percent*trial.GetShare()), trial.GetGroup())
}

func describeTrial(trial *peerv1.ExplainShard) string {
	if trial.GetLeaf() == "" {
		return "no leaf may be called, so they go like the others"
	}
	return describeChoice(trial)
}

func describeChoice(s *peerv1.ExplainShard) string {
	out := s.GetLeaf()
	switch {
	case out == "":
		return describeNone(s)
	case s.GetRunner() == "":
		out += ", no other leaf may be called"
	default:
		out += fmt.Sprintf(", then %s, which costs %s more", s.GetRunner(), number(s.GetMargin()))
	}
	if s.GetChance() {
		out += fmt.Sprintf(" (chance decides, the first with a probability of %s%%)", number(percent*s.GetOdds()))
	}
	if s.GetForced() {
		out += "; only leaves that could not be reached recently are left"
	}
	return out
}

func describeNone(s *peerv1.ExplainShard) string {
	out := "no leaf may be called"
	if len(s.GetLeaves()) == 0 {
		out = "no leaf is known that does not leave"
	}
	if s.GetOmitted() {
		out += "; left out, the other shards suffice"
	}
	return out
}

func describeState(l *peerv1.ExplainLeaf) string {
	switch {
	case l.GetBarred() == "" && l.GetBacking():
		return "callable although not reached recently"
	case l.GetBarred() == "" && !l.GetKnown():
		return "not called yet"
	case l.GetBarred() == "":
		return "callable"
	case l.GetLeft() == nil:
		return l.GetBarred()
	}
	return l.GetBarred() + " for " + duration(l.GetLeft())
}

func describeLoad(l *peerv1.ExplainLeaf) string {
	if l.Load == nil {
		return "-"
	}
	return fmt.Sprintf("%s, %s ago", number(l.GetLoad()), duration(l.GetAge()))
}

func describeSlowness(l *peerv1.ExplainLeaf) string {
	if l.Slowness == nil {
		return "-"
	}
	return fmt.Sprintf("%s, %s ago", number(l.GetSlowness()), duration(l.GetAge()))
}

func optionalNumber(v *float64) string {
	if v == nil {
		return "-"
	}
	return number(*v)
}

func writePortion(w io.Writer, p *peerv1.ExplainPortion) {
	fmt.Fprintf(w, "\nportion %s (%s: %s): %s\n", p.GetKey(), p.GetCenter(), strings.Join(p.GetServices(), " "), describeHost(p))
	table := newTable(w, "host", "connected", "state", "portions in flight", "measured", "expected")
	for _, h := range p.GetHosts() {
		state, measured := "usable", "-"
		if h.GetLeft() != nil {
			state = "did not answer, not chosen for " + duration(h.GetLeft())
		}
		if h.GetLatency() != nil {
			measured = fmt.Sprintf("%s, %s ago", duration(h.GetLatency()), duration(h.GetAge()))
		}
		table.add("  "+h.GetAddress(), strconv.FormatBool(h.GetConnected()), state, fmt.Sprint(h.GetPending()), measured, duration(h.GetExpected()))
	}
	table.flush()
	for _, s := range p.GetShards() {
		writeShard(w, s)
	}
}

func describeHost(p *peerv1.ExplainPortion) string {
	out := p.GetAddress()
	switch {
	case p.GetWait() != nil:
		out += ", this host, unless a candidate is connected within " + duration(p.GetWait())
	case p.GetLocal():
		out += ", this host"
	case p.GetRunner() != "":
		out += fmt.Sprintf(", then %s, expected %s later", p.GetRunner(), duration(p.GetMargin()))
	default:
		out += ", otherwise this host"
	}
	return out
}

// comparison holds the cells of a table by row and host. Rows are in the order in which they are first set.
type comparison struct {
	labels []string
	cells  map[string][]string
	hosts  int
}

func (c *comparison) set(host int, label, text string) {
	if _, ok := c.cells[label]; !ok {
		c.labels = append(c.labels, label)
		c.cells[label] = make([]string, c.hosts)
	}
	c.cells[label][host] = text
}

func writeComparison(w io.Writer, answers []Answer) {
	c := &comparison{cells: make(map[string][]string), hosts: len(answers)}
	for i, a := range answers {
		c.set(i, "address", a.Address)
		if a.Err != nil {
			c.set(i, "host", "no answer: "+a.Err.Error())
			continue
		}
		for _, r := range summary(a.Response) {
			c.set(i, r.label, r.text)
		}
		for _, p := range a.Response.GetPortions() {
			c.set(i, "portion "+p.GetKey(), describeHost(p))
			c.setShards(i, p.GetShards())
		}
		c.setShards(i, a.Response.GetShards())
	}
	table := newTable(w)
	for _, label := range c.labels {
		cells := []string{label}
		for _, text := range c.cells[label] {
			cells = append(cells, orDash(text))
		}
		table.add(cells...)
	}
	table.flush()
}

func (c *comparison) setShards(host int, shards []*peerv1.ExplainShard) {
	for _, s := range shards {
		c.set(host, "service "+s.GetService(), describeChoice(s))
		if s.GetRollout() != nil {
			c.set(host, "  rollout of "+s.GetService(), describeRollout(s))
		}
		c.setLeaves(host, s.GetLeaves())
		if trial := s.GetTrial(); trial != nil {
			c.set(host, "  trial of "+s.GetService(), trialLabel(trial)+": "+describeTrial(trial))
			c.setLeaves(host, trial.GetLeaves())
		}
	}
}

func (c *comparison) setLeaves(host int, leaves []*peerv1.ExplainLeaf) {
	for _, l := range leaves {
		text := fmt.Sprintf("%s, cost %s, calls %d, latency %s", orDash(l.GetProgram()), optionalNumber(l.Cost), l.GetCalls(), number(l.GetRatio()))
		if l.Expected != nil {
			text += ", slowness " + number(l.GetExpected())
		}
		if l.GetBarred() != "" {
			text = orDash(l.GetProgram()) + ", " + describeState(l)
		}
		c.set(host, "  "+l.GetLeaf(), text)
	}
}

// table writes aligned columns.
type table struct{ columns *tabwriter.Writer }

const columnGap = 2

func newTable(w io.Writer, titles ...string) *table {
	t := &table{columns: tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)}
	if len(titles) > 0 {
		titles[0] = "  " + titles[0]
		t.add(titles...)
	}
	return t
}

func (t *table) add(cells ...string) {
	fmt.Fprintln(t.columns, strings.Join(cells, "\t"))
}

func (t *table) flush() { _ = t.columns.Flush() }

// duration formats a duration in milliseconds below a second, otherwise in tenths of a second; a dash if there is none.
func duration(m *durationpb.Duration) string {
	if m == nil {
		return "-"
	}
	d := m.AsDuration()
	if d.Abs() < time.Second {
		return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 1, 64) + "ms"
	}
	return strconv.FormatFloat(d.Seconds(), 'f', 1, 64) + "s"
}

func number(v float64) string {
	const digits = 3
	return strconv.FormatFloat(v, 'g', digits, 64)
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
