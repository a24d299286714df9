package settings

import (
	"encoding/hex"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"strings"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/result"
)

// checker holds the rules that go beyond the type of one value.
type checker struct {
	d   *decoder
	cfg *Settings
}

const (
	hashBytes         = 32
	maxControlMembers = 5
)

func (c checker) check() {
	c.identity()
	c.addresses()
	c.peers()
	c.control()
	c.tls()
	c.customers()
	c.operators()
	c.upstreams()
	c.services()
	c.classes()
	c.amounts()
	c.times()
}

func (c checker) valuef(path, format string, args ...any) {
	c.d.atf(path, result.SettingsValue, format, args...)
}

func (c checker) conflictf(path, format string, args ...any) {
	c.d.atf(path, result.SettingsConflict, format, args...)
}

// wellTyped is false when the decoder has already reported path, so that one mistake is reported once.
func (c checker) wellTyped(path string) bool {
	for i := range c.d.faults {
		if c.d.faults[i].Path == path {
			return false
		}
	}
	return true
}

func (c checker) name(path, s string) {
	if !c.wellTyped(path) {
		return
	}
	if s == "" {
		c.d.atf(path, result.SettingsMissing, "a name is required")
		return
	}
	if !ident.ValidName(s) {
		c.valuef(path, "%q is not a name of lower-case letters, digits, dots, dashes and underscores", s)
	}
}

func (c checker) identity() {
	c.name("name", string(c.cfg.Name))
	c.name("region", string(c.cfg.Region))
	c.name("hall", string(c.cfg.Hall))
}

func (c checker) hostPort(path, s string, required bool) {
	if !c.wellTyped(path) {
		return
	}
	if s == "" {
		if required {
			c.d.atf(path, result.SettingsMissing, "an address such as \"10.0.0.7:8000\" is required")
		}
		return
	}
	host, port, err := net.SplitHostPort(s)
	if err != nil {
		c.valuef(path, "%q is not host:port", s)
		return
	}
	if net.ParseIP(host) == nil {
		c.valuef(path, "%q is not an IP number", host)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		c.valuef(path, "%q is not a port", port)
	}
}

func (c checker) addresses() {
	a := &c.cfg.Addresses
	c.hostPort("addresses.callers", a.Callers, true)
	c.hostPort("addresses.operators", a.Operators, true)
	c.hostPort("addresses.peers", a.Peers, true)
	c.hostPort("addresses.metrics", a.Metrics, false)
	seen := map[string]string{}
	for _, pair := range [][2]string{{"callers", a.Callers}, {"operators", a.Operators}, {"peers", a.Peers}, {"metrics", a.Metrics}} {
		path := "addresses." + pair[0]
		if other, ok := seen[pair[1]]; ok && !strings.HasSuffix(pair[1], ":0") {
			c.conflictf(path, "is the same address as %s", other)
		}
		if pair[1] != "" {
			seen[pair[1]] = path
		}
	}
}

func (c checker) peers() {
	seen := map[ident.Daemon]bool{c.cfg.Name: true}
	for i, p := range c.cfg.Peers {
		path := fmt.Sprintf("peers[%d]", i)
		c.name(path+".name", string(p.Name))
		c.hostPort(path+".address", p.Address, true)
		c.name(path+".hall", string(p.Hall))
		if seen[p.Name] && p.Name != "" {
			c.conflictf(path+".name", "the name %q stands twice, or is this daemon's own", p.Name)
		}
		seen[p.Name] = true
	}
}

func (c checker) control() {
	n := len(c.cfg.ControlMembers)
	if !c.wellTyped("control-members") {
		return
	}
	if n == 0 {
		c.d.atf("control-members", result.SettingsMissing, "1, 3 or 5 daemons are required")
		return
	}
	if n > maxControlMembers || n%2 == 0 {
		c.valuef("control-members", "has %d daemons; 1, 3 or 5 are possible", n)
	}
	known := map[ident.Daemon]bool{}
	for _, name := range c.cfg.DaemonNames() {
		known[name] = true
	}
	seen := map[ident.Daemon]bool{}
	for i, name := range c.cfg.ControlMembers {
		path := fmt.Sprintf("control-members[%d]", i)
		if !known[name] && c.wellTyped("name") {
			c.conflictf(path, "%q is neither this daemon nor one of its peers", name)
		}
		if seen[name] {
			c.conflictf(path, "%q stands twice", name)
		}
		seen[name] = true
	}
	if c.cfg.IsControl() && c.cfg.DataFolder == "" {
		c.conflictf("control-members", "this daemon is a control member and has no data-folder")
	}
}

func (c checker) tls() {
	t := c.cfg.TLS
	if t == nil {
		return
	}
	for key, s := range map[string]string{"certificate": t.Certificate, "key": t.Key, "authority": t.Authority} {
		if s == "" {
			c.d.atf("tls."+key, result.SettingsMissing, "a PEM file is required")
		}
	}
}

func (c checker) hash(path, s string) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != hashBytes {
		c.valuef(path, "is not a SHA-256 hash in hex; make one with `dunlinquay key`")
	}
}

func (c checker) customers() {
	seen := map[ident.Customer]bool{}
	hashes := map[string]ident.Customer{}
	for i := range c.cfg.Customers {
		cust := &c.cfg.Customers[i]
		path := fmt.Sprintf("customers[%d]", i)
		c.name(path+".name", string(cust.Name))
		if seen[cust.Name] {
			c.conflictf(path+".name", "the name %q stands twice", cust.Name)
		}
		seen[cust.Name] = true
		for j, h := range cust.KeyHashes {
			p := fmt.Sprintf("%s.key-hashes[%d]", path, j)
			c.hash(p, h)
			if owner, ok := hashes[h]; ok {
				c.conflictf(p, "the key belongs to %q already", owner)
			}
			hashes[h] = cust.Name
		}
		c.customerLimits(path+".limits", cust.Limits)
	}
}

func (c checker) customerLimits(path string, l CustomerLimits) {
	if l.Weight < 0 || l.Concurrent < 0 || l.RequestsPerSecond < 0 || l.TokensPerSecond < 0 {
		c.valuef(path, "limits cannot be negative")
	}
}

func (c checker) operators() {
	seen := map[string]bool{}
	for i, o := range c.cfg.Operators {
		path := fmt.Sprintf("operators[%d]", i)
		c.name(path+".name", o.Name)
		c.hash(path+".key-hash", o.KeyHash)
		if seen[o.Name] {
			c.conflictf(path+".name", "the name %q stands twice", o.Name)
		}
		seen[o.Name] = true
	}
}

func (c checker) upstreams() {
	seen := map[ident.VM]bool{}
	for i := range c.cfg.Upstreams {
		u := &c.cfg.Upstreams[i]
		path := fmt.Sprintf("upstreams[%d]", i)
		c.name(path+".name", string(u.Name))
		c.hostPort(path+".address", u.Address, true)
		c.name(path+".hall", string(u.Hall))
		c.name(path+".domain", string(u.Domain))
		if u.Accelerators < 1 {
			c.valuef(path+".accelerators", "must be at least 1")
		}
		if u.Speed < 0 {
			c.valuef(path+".speed", "cannot be negative")
		}
		if seen[u.Name] {
			c.conflictf(path+".name", "the name %q stands twice", u.Name)
		}
		seen[u.Name] = true
	}
	c.platformURL()
}

func (c checker) platformURL() {
	if c.cfg.Platform.URL == "" {
		return
	}
	u, err := url.Parse(c.cfg.Platform.URL)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.valuef("platform.url", "%q is not an http or https URL", c.cfg.Platform.URL)
	}
	if c.cfg.Platform.Interval <= 0 {
		c.valuef("platform.interval", "must be positive")
	}
}

func (c checker) services() {
	seen := map[ident.Service]bool{}
	for i := range c.cfg.Services {
		s := &c.cfg.Services[i]
		path := fmt.Sprintf("services[%d]", i)
		c.name(path+".name", string(s.Name))
		if len(s.Addresses) == 0 {
			c.d.atf(path+".addresses", result.SettingsMissing, "at least one worker is required")
		}
		for j, a := range s.Addresses {
			c.hostPort(fmt.Sprintf("%s.addresses[%d]", path, j), a, true)
		}
		for j, route := range s.NotRepeatable {
			if method, p, ok := strings.Cut(route, " "); !ok || method == "" || !strings.HasPrefix(p, "/") {
				c.valuef(fmt.Sprintf("%s.not-repeatable[%d]", path, j), "%q is not a route such as \"POST /charges\"", route)
			}
		}
		if seen[s.Name] {
			c.conflictf(path+".name", "the name %q stands twice", s.Name)
		}
		seen[s.Name] = true
	}
}

func (c checker) classes() {
	if len(c.cfg.Classes) == 0 {
		c.d.atf("classes", result.SettingsMissing, "at least one class is required")
	}
	seen := map[ident.Class]bool{}
	for i, class := range c.cfg.Classes {
		path := fmt.Sprintf("classes[%d]", i)
		c.name(path+".name", string(class.Name))
		if class.Deadline <= 0 {
			c.valuef(path+".deadline", "must be positive")
		}
		if class.Queue < 1 {
			c.valuef(path+".queue", "must be at least 1")
		}
		if seen[class.Name] {
			c.conflictf(path+".name", "the name %q stands twice", class.Name)
		}
		seen[class.Name] = true
	}
}

func (c checker) amounts() {
	p := c.cfg.Policy
	if p.Downtime < 0 || p.Stranded < 0 || p.Downtime+p.Stranded == 0 {
		c.valuef("policy", "weights cannot be negative, nor both zero")
	}
	l := c.cfg.Limits
	if l.BodyBytes < 1 || l.HeaderBytes < 1 || l.StreamBuffer < 1 || l.AnswerKeptBytes < 0 {
		c.valuef("limits", "sizes must be positive")
	}
	if l.RetryShare < 0 || l.RetryShare > 1 {
		c.valuef("limits.retry-share", "must be between 0 and 1")
	}
	if c.cfg.WeightStore.ConcurrentLoads < 1 {
		c.valuef("weight-store.concurrent-loads", "must be at least 1")
	}
}

func (c checker) times() {
	t := &c.cfg.Times
	for key, d := range map[string]Duration{
		"heartbeat": t.Heartbeat, "election": t.Election, "lease": t.Lease, "beat": t.Beat, "probe": t.Probe,
		"presence-bound": t.PresenceBound, "loss-bound": t.LossBound, "control-bound": t.ControlBound,
		"order-deadline": t.OrderDeadline, "drain-bound": t.DrainBound, "look-away": t.LookAway, "ledger-retention": t.LedgerRetention,
	} {
		if d <= 0 && c.wellTyped("times."+key) {
			c.valuef("times."+key, "must be positive")
		}
	}
	if t.Election < 3*t.Heartbeat {
		c.conflictf("times.election", "must be at least three heartbeats, or healthy leaders lose their place")
	}
	// A follower must not elect another leader while a lease may run, clock drift included.
	if float64(t.Lease)*leaseDrift > float64(t.Election) {
		c.conflictf("times.lease", "must be shorter than times.election by a tenth, or two leaders could hold a lease")
	}
	if t.PresenceBound < 2*t.Probe {
		c.conflictf("times.presence-bound", "must be at least two probes, or healthy members look absent")
	}
	if t.LossBound < t.PresenceBound {
		c.conflictf("times.loss-bound", "must not be shorter than times.presence-bound")
	}
	if t.ControlBound < 4*t.Beat {
		c.conflictf("times.control-bound", "must be at least four beats")
	}
}

// leaseDrift is the factor by which two monotonic clocks may differ over one lease.
const leaseDrift = 1.1
