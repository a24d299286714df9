package settings

import (
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/dunlinquay/dunlinquay/backoff"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/quarantine"
	"github.com/dunlinquay/dunlinquay/result"
)

// Site is the configuration of one daemon of a self-forming site: it is given a few seeds and finds all others.
type Site struct {
	Name   ident.Daemon `json:"name"`
	Hall   ident.Hall   `json:"hall"`
	Region ident.Region `json:"region"`
	// Halls are the halls of the site and their regions.
	Halls map[ident.Hall]ident.Region `json:"halls,omitempty"`
	// Listen holds the addresses of the daemon's own; empty ones are not served.
	Listen SiteListen `json:"listen"`
	// PeerPort is the port on which all daemons of the site listen for each other.
	PeerPort int `json:"peer-port"`
	// Seeds are addresses (host:port) of a few control daemons; their peers' port is PeerPort.
	Seeds []string `json:"seeds"`
	// FirstStart allows the seeds to form the first control quorum, from empty data folders only.
	FirstStart bool `json:"first-start"`
	// DataFolder makes the daemon a control daemon.
	DataFolder string `json:"data-folder"`
	MemoryMB   int    `json:"memory-mb"`
	// LinkMbps is what the VM's link carries.
	LinkMbps   float64    `json:"link-mbps"`
	Bounds     SiteBounds `json:"bounds"`
	Retries    Retries    `json:"retries"`
	Quarantine Quarantine `json:"quarantine"`
	Backoff    Backoff    `json:"backoff"`
	Times      SiteTimes  `json:"times"`
	Scheduling Scheduling `json:"scheduling"`
	// ApplicationHeaders are headers in answers of upstreams that are between the application and its callers: no operator is told that
	// nothing here reads them.
	ApplicationHeaders []string `json:"application-headers,omitempty"`
}

// SiteListen are the host:port pairs on which a daemon of a site listens.
type SiteListen struct {
	Callers string `json:"callers"`
	Ready   string `json:"ready"`
	// Control takes the calls of upstreams and operators.
	Control string `json:"control"`
	// Host is the address that peers use, Peers the one to listen on for them when it is another (host:port), as behind a
	// forwarder.
	Host    string `json:"host"`
	Peers   string `json:"peers"`
	Metrics string `json:"metrics"`
}

// SiteBounds are what the deployment promises its users.
type SiteBounds struct {
	// KeysRevoked is how long after its removal a key may still be served.
	KeysRevoked Duration `json:"keys-revoked"`
	// StopGrace is how long a daemon may take to stop.
	StopGrace Duration `json:"stop-grace"`
}

// Retries bounds the requests that are sent to a second upstream, over all daemons.
type Retries struct {
	Share     float64  `json:"share"`
	Window    Duration `json:"window"`
	Allowance float64  `json:"allowance"`
}

// Quarantine says when work is held because upstreams ended while they ran it, and for how long.
type Quarantine struct {
	// Ends is how many upstreams must have ended under the same work in a row.
	Ends int `json:"ends"`
	// Hold is how long it is held at first; it doubles with each further end, up to an hour.
	Hold Duration `json:"hold"`
	// Records bounds the works that a daemon remembers; one takes 200 to 320 bytes.
	Records int `json:"records"`
}

// Backoff bounds for how long upstreams can make a daemon send them nothing.
type Backoff struct {
	// Most is the longest time that one answer of an upstream may ask for.
	Most Duration `json:"most"`
	// Leaving is how long an upstream is sent nothing after it has said that it leaves.
	Leaving Duration `json:"leaving"`
}

// SiteTimes holds the intervals of the control quorum and of reports.
type SiteTimes struct {
	Heartbeat Duration `json:"heartbeat"`
	Election  Duration `json:"election"`
	Lease     Duration `json:"lease"`
	// Report is how often upstreams report.
	Report Duration `json:"report"`
}

// Scheduling says how capacity is divided while requests compete for it, and how it follows the demand.
type Scheduling struct {
	// UrgencyFloor is the fraction of the rate at which requests are sent that less urgent requests keep while more urgent ones wait.
	UrgencyFloor float64 `json:"urgency-floor"`
	// ArrivalCheck refuses a request on arrival if the requests ahead of it at all entries leave it no time.
	ArrivalCheck bool `json:"arrival-check"`
	// Forecast plans groups by the expected demand. Spares lets a lost group of a large model be formed again at once, from its remaining
	// members and members of other groups.
	Forecast bool `json:"forecast"`
	Spares   bool `json:"spares"`
	// CustomerShares orders waiting requests of the same urgency by the customers' shares, CustomerWeights are the weights of these
	// shares; customers that are not listed have 1.
	CustomerShares  bool                       `json:"customer-shares"`
	CustomerWeights map[ident.Customer]float64 `json:"customer-weights,omitempty"`
}

// DefaultSite returns the values that absent keys take. A member that has just started does not vote while a lease that it may have
// granted can hold, so a short lease brings a site back sooner after all daemons were lost.
func DefaultSite() Site {
	held := quarantine.DefaultRule()
	asked := backoff.DefaultRule()
	return Site{
		MemoryMB:   256,
		LinkMbps:   1000,
		Bounds:     SiteBounds{KeysRevoked: Duration(5 * time.Second), StopGrace: Duration(8 * time.Second)},
		Retries:    Retries{Share: 0.2, Window: Duration(10 * time.Second), Allowance: 50},
		Quarantine: Quarantine{Ends: held.Crashes, Hold: Duration(held.InitialDuration), Records: held.MaxRecords},
		Backoff:    Backoff{Most: Duration(asked.Max), Leaving: Duration(asked.Leaving)},
		Scheduling: Scheduling{UrgencyFloor: 0.25},
		Times: SiteTimes{
			Heartbeat: Duration(50 * time.Millisecond),
			Election:  Duration(330 * time.Millisecond),
			Lease:     Duration(200 * time.Millisecond),
			Report:    Duration(1200 * time.Millisecond),
		},
	}
}

// LoadSite reads and checks the file at path; the error is Faults when the file could be read.
func LoadSite(path string) (*Site, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, result.Wrap(err, result.SettingsUnreadable, "settings cannot be read")
	}
	return ParseSite(path, content)
}

// ParseSite checks content, naming file in each fault; the error is Faults.
func ParseSite(file string, content []byte) (*Site, error) {
	cfg := DefaultSite()
	d, whole := decode(file, content, &cfg)
	if whole {
		cfg.check(d)
	}
	if len(d.faults) > 0 {
		return nil, d.faults.sorted()
	}
	return &cfg, nil
}

func (cfg *Site) check(d *decoder) {
	if cfg.Name == "" {
		d.atf("name", result.SettingsMissing, "give the daemon a name")
	}
	if cfg.Listen.Host == "" {
		d.atf("listen.host", result.SettingsMissing, "peers need an address")
	}
	if cfg.PeerPort < 1 || cfg.PeerPort > maxPort {
		d.atf("peer-port", result.SettingsValue, "wants a port from 1 to %d", maxPort)
	}
	if len(cfg.Seeds) == 0 {
		d.atf("seeds", result.SettingsMissing, "wants the address of at least one control daemon")
	}
	if _, _, err := net.SplitHostPort(cfg.PeerListen()); err != nil {
		d.atf("listen.peers", result.SettingsValue, "%s is not host:port", cfg.Listen.Peers)
	}
	for i, seed := range cfg.Seeds {
		if _, _, err := net.SplitHostPort(seed); err != nil {
			d.atf("seeds["+strconv.Itoa(i)+"]", result.SettingsValue, "%s is not host:port", seed)
		}
	}
	if (cfg.DataFolder == "") != (cfg.Listen.Control == "") {
		d.atf("data-folder", result.SettingsConflict, "a control daemon wants both data-folder and listen.control")
	}
	if cfg.Listen.Callers == "" && cfg.Listen.Control == "" {
		d.atf("listen", result.SettingsMissing, "wants callers or control")
	}
	cfg.Quarantine.check(d)
	cfg.Backoff.check(d)
	cfg.Scheduling.check(d)
	cfg.checkHeaders(d)
	if float64(cfg.Times.Lease) > leasePart*float64(cfg.Times.Election) {
		d.atf("times.lease", result.SettingsConflict, "wants at most %v of times.election", leasePart)
	}
}

func (cfg *Site) checkHeaders(d *decoder) {
	for i, name := range cfg.ApplicationHeaders {
		if name == "" || strings.Trim(name, headerSigns) != "" {
			d.atf("application-headers["+strconv.Itoa(i)+"]", result.SettingsValue, "%q is not the name of a header", name)
		}
	}
}

func (q *Quarantine) check(d *decoder) {
	if q.Ends < 1 || q.Ends > quarantine.MaxCrashes {
		d.atf("quarantine.ends", result.SettingsValue, "wants 1 to %d", quarantine.MaxCrashes)
	}
	if q.Hold.Std() < holdLeast || q.Hold.Std() > quarantine.MaxDuration {
		d.atf("quarantine.hold", result.SettingsValue, "wants %v to %v", holdLeast, quarantine.MaxDuration)
	}
	if q.Records < recordsLeast || q.Records > recordsMost {
		d.atf("quarantine.records", result.SettingsValue, "wants %d to %d", recordsLeast, recordsMost)
	}
}

func (b *Backoff) check(d *decoder) {
	if b.Most.Std() < backoffLeast || b.Most.Std() > backoffMost {
		d.atf("backoff.most", result.SettingsValue, "wants %v to %v", backoffLeast, backoffMost)
	}
	if b.Leaving.Std() < leavingLeast || b.Leaving.Std() > backoffMost {
		d.atf("backoff.leaving", result.SettingsValue, "wants %v to %v", leavingLeast, backoffMost)
	}
}

func (s *Scheduling) check(d *decoder) {
	if s.UrgencyFloor < 0 || s.UrgencyFloor > 1 {
		d.atf("scheduling.urgency-floor", result.SettingsValue, "wants 0 to 1")
	}
	for customer, weight := range s.CustomerWeights {
		if weight <= 0 || weight > maxCustomerWeight {
			d.atf("scheduling.customer-weights."+string(customer), result.SettingsValue, "wants more than 0 and at most %d", maxCustomerWeight)
		}
	}
}

// maxCustomerWeight bounds the ratio between the shares of two customers, so that a typing error does not starve all others.
const maxCustomerWeight = 1000

// headerSigns are the signs of the names of headers (RFC 9110, section 5.6.2).
const headerSigns = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"

const (
	// backoffLeast lets an upstream that is overrun finish what it has, backoffMost is when one that asked for it works again at the
	// latest; leavingLeast is longer than an upstream takes to end once it has said that it leaves.
	backoffLeast = time.Second
	backoffMost  = time.Hour
	leavingLeast = 30 * time.Second
)

const (
	// holdLeast is the shortest time for which work may be held: entries hear of each other within it also where datagrams are lost.
	holdLeast = time.Second
	// recordsLeast holds the requests of a few engines that end at the same moment, recordsMost takes 20 to 32 MB.
	recordsLeast = 64
	recordsMost  = 100_000
)

const (
	maxPort = 65535
	// leasePart is the longest lease in parts of the election time: a lease must be over, on any clock, before another
	// member can be elected.
	leasePart = 0.8
)

// PeerAddress returns the address on which this daemon listens for its peers.
func (cfg *Site) PeerAddress() string {
	return net.JoinHostPort(cfg.Listen.Host, strconv.Itoa(cfg.PeerPort))
}

// PeerListen returns the address to listen on for peers.
func (cfg *Site) PeerListen() string {
	if cfg.Listen.Peers != "" {
		return cfg.Listen.Peers
	}
	return cfg.PeerAddress()
}

// SeedPeers returns the peers' addresses of the seeds.
func (cfg *Site) SeedPeers() []string {
	var list []string
	for _, seed := range cfg.Seeds {
		// Checked with the settings.
		host, _, _ := net.SplitHostPort(seed)
		list = append(list, net.JoinHostPort(host, strconv.Itoa(cfg.PeerPort)))
	}
	return list
}
