package settings

import (
	"os"
	"reflect"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/result"
)

// Settings is one daemon's whole configuration; absent keys hold the values of Default.
type Settings struct {
	Name           ident.Daemon   `json:"name"`
	Region         ident.Region   `json:"region"`
	Hall           ident.Hall     `json:"hall"`
	Addresses      Addresses      `json:"addresses"`
	DataFolder     string         `json:"data-folder"`
	Peers          []Peer         `json:"peers"`
	ControlMembers []ident.Daemon `json:"control-members"`
	TLS            *TLS           `json:"tls"`
	Customers      []Customer     `json:"customers"`
	Operators      []Operator     `json:"operators"`
	Platform       Platform       `json:"platform"`
	WeightStore    WeightStore    `json:"weight-store"`
	Upstreams      []Upstream     `json:"upstreams"`
	Services       []Service      `json:"services"`
	Classes        []Class        `json:"classes"`
	Policy         Policy         `json:"policy"`
	Limits         Limits         `json:"limits"`
	Times          Times          `json:"times"`
}

// Addresses are the host:port pairs on which the daemon listens.
type Addresses struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Peers     string `json:"peers"`
	Metrics   string `json:"metrics"`
}

// Peer is another daemon and the host:port of its peer listener.
type Peer struct {
	Name    ident.Daemon `json:"name"`
	Address string       `json:"address"`
	Hall    ident.Hall   `json:"hall"`
}

// TLS names the PEM files for mutual TLS between daemons.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Authority   string `json:"authority"`
}

// Customer is one tenant, the SHA-256 hashes of its keys in hex, and its limits before operators change them.
type Customer struct {
	Name      ident.Customer `json:"name"`
	KeyHashes []string       `json:"key-hashes"`
	Limits    CustomerLimits `json:"limits"`
}

// CustomerLimits bounds one customer over all daemons together; zero means no bound.
type CustomerLimits struct {
	Weight            float64 `json:"weight"`
	Concurrent        int     `json:"concurrent"`
	RequestsPerSecond float64 `json:"requests-per-second"`
	TokensPerSecond   float64 `json:"tokens-per-second"`
}

// Operator is one person or program that may change configuration, and the SHA-256 hash of its key in hex.
type Operator struct {
	Name    string `json:"name"`
	KeyHash string `json:"key-hash"`
}

// Platform is the base URL of the platform's list of VMs and how often it is read; an empty URL means there is none.
type Platform struct {
	URL      string   `json:"url"`
	Interval Duration `json:"interval"`
}

// WeightStore bounds how many VMs load weights at the same moment.
type WeightStore struct {
	ConcurrentLoads int `json:"concurrent-loads"`
}

// Upstream is one VM with a model engine, whose address is host:port.
type Upstream struct {
	Name         ident.VM           `json:"name"`
	Address      string             `json:"address"`
	Hall         ident.Hall         `json:"hall"`
	Domain       ident.Domain       `json:"domain"`
	Accelerators ident.Accelerators `json:"accelerators"`
	Speed        float64            `json:"speed"`
	ChecksOrders bool               `json:"checks-orders"`
	Labels       map[string]string  `json:"labels"`
}

// Service is one plain service, its workers as host:port, and the routes ("POST /charges") that must not be repeated.
type Service struct {
	Name          ident.Service `json:"name"`
	Addresses     []string      `json:"addresses"`
	NotRepeatable []string      `json:"not-repeatable"`
	Slots         int           `json:"slots"`
}

// Class is one kind of request: its priority (0 is the most important), default deadline and queue length.
type Class struct {
	Name     ident.Class `json:"name"`
	Priority int         `json:"priority"`
	Deadline Duration    `json:"deadline"`
	Queue    int         `json:"queue"`
}

// Policy weighs group downtime against stranded accelerators in the planner.
type Policy struct {
	Downtime float64 `json:"downtime"`
	Stranded float64 `json:"stranded"`
}

// Limits bounds sizes (in bytes) and retries.
type Limits struct {
	BodyBytes       int     `json:"body-bytes"`
	HeaderBytes     int     `json:"header-bytes"`
	AnswerKeptBytes int     `json:"answer-kept-bytes"`
	StreamBuffer    int     `json:"stream-buffer"`
	RetryShare      float64 `json:"retry-share"`
}

// Times holds the intervals and bounds of control, presence and requests.
type Times struct {
	Heartbeat       Duration `json:"heartbeat"`
	Election        Duration `json:"election"`
	Lease           Duration `json:"lease"`
	Beat            Duration `json:"beat"`
	Probe           Duration `json:"probe"`
	PresenceBound   Duration `json:"presence-bound"`
	LossBound       Duration `json:"loss-bound"`
	ControlBound    Duration `json:"control-bound"`
	OrderDeadline   Duration `json:"order-deadline"`
	DrainBound      Duration `json:"drain-bound"`
	LookAway        Duration `json:"look-away"`
	LedgerRetention Duration `json:"ledger-retention"`
}

// Default returns the values that absent keys take.
func Default() Settings {
	return Settings{
		Platform:    Platform{Interval: Duration(time.Second)},
		WeightStore: WeightStore{ConcurrentLoads: 16},
		Classes: []Class{
			{Name: "interactive", Priority: 0, Deadline: Duration(60 * time.Second), Queue: 256},
			{Name: "batch", Priority: 1, Deadline: Duration(10 * time.Minute), Queue: 1024},
		},
		Policy: Policy{Downtime: 1, Stranded: 1},
		Limits: Limits{
			BodyBytes:       4 << 20,
			HeaderBytes:     32 << 10,
			AnswerKeptBytes: 64 << 10,
			StreamBuffer:    256,
			RetryShare:      0.1,
		},
		Times: Times{
			Heartbeat:       Duration(100 * time.Millisecond),
			Election:        Duration(600 * time.Millisecond),
			Lease:           Duration(500 * time.Millisecond),
			Beat:            Duration(250 * time.Millisecond),
			Probe:           Duration(250 * time.Millisecond),
			PresenceBound:   Duration(1500 * time.Millisecond),
			LossBound:       Duration(2500 * time.Millisecond),
			ControlBound:    Duration(8 * time.Second),
			OrderDeadline:   Duration(time.Second),
			DrainBound:      Duration(2 * time.Minute),
			LookAway:        Duration(2 * time.Second),
			LedgerRetention: Duration(24 * time.Hour),
		},
	}
}

// Load reads and checks the file at path; the error is Faults when the file could be read.
func Load(path string) (*Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, result.Wrap(err, result.SettingsUnreadable, "settings cannot be read")
	}
	return Parse(path, content)
}

// Parse checks content, naming file in each fault; the error is Faults.
func Parse(file string, content []byte) (*Settings, error) {
	cfg := Default()
	d, whole := decode(file, content, &cfg)
	if whole {
		checker{d: d, cfg: &cfg}.check()
	}
	if len(d.faults) > 0 {
		return nil, d.faults.sorted()
	}
	return &cfg, nil
}

// decode reads content into the struct that into points to and reports whether it is an object at all.
func decode(file string, content []byte, into any) (*decoder, bool) {
	d := &decoder{file: file, content: content, offsets: map[string]int{}}
	v, ok := d.parse()
	if !ok {
		return d, false
	}
	d.value(v, "", reflect.ValueOf(into).Elem())
	return d, v.Value.Kind() == '{'
}

// IsControl reports whether the daemon itself is a control member.
func (cfg *Settings) IsControl() bool {
	for _, name := range cfg.ControlMembers {
		if name == cfg.Name {
			return true
		}
	}
	return false
}

// DaemonNames returns the names of this daemon and all its peers.
func (cfg *Settings) DaemonNames() []ident.Daemon {
	names := []ident.Daemon{cfg.Name}
	for _, p := range cfg.Peers {
		names = append(names, p.Name)
	}
	return names
}

// Class returns the class of that name.
func (cfg *Settings) Class(name ident.Class) (Class, bool) {
	for _, c := range cfg.Classes {
		if c.Name == name {
			return c, true
		}
	}
	return Class{}, false
}
