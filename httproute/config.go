package httproute

// A configuration is one value with one version. It is checked as a whole
// before it is accepted, and compiled once into a Table for the requests:
//
//	cfg -> Check -> replicated log -> NewTable(cfg) -> table.Route(host, path)

import (
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
)

// Version orders configurations; the one with the highest version applies.
type Version uint64

// Kind says whether requests of a route may be retried after a failed attempt.
type Kind string

// The kinds of routes: safe requests may be retried, unsafe ones may not, streams only if they are resumable.
const (
	KindSafe   Kind = "safe"
	KindUnsafe Kind = "unsafe"
	KindStream Kind = "stream"
)

// Config is everything that operators configure, as one value.
type Config struct {
	Version   Version
	Routes    []Route
	Services  []Service
	Customers []Customer
	Limits    Limits
}

// Route maps the requests for one host and path prefix to services.
type Route struct {
	Name   ident.Class
	Host   string
	Prefix string
	Kind   Kind
	// Resumable streams may be continued at another upstream after the last event that was forwarded.
	Resumable bool
	// Public routes require no key.
	Public  bool
	Split   []Share
	Timeout time.Duration
	// Aim is the target time to the complete answer; for streams, to the first event.
	Aim time.Duration
	// GapAim is the target time between two events of a stream.
	GapAim      time.Duration
	Priority    int
	MaxAttempts int
	// HomeRegions are the regions whose upstreams may serve the requests; if empty, all regions.
	HomeRegions []ident.Region
}

// Share is one service of a route, with its weight in the choice of a service.
type Share struct {
	Service ident.Service
	Weight  float64
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name           ident.Service
	HealthPath     string
	MaxConnections int
	// MaxColdRate is the maximum number of requests per second sent to a cold upstream, 0 for no limit.
	MaxColdRate float64
	// Engine is nil if the service has no model engines.
	Engine *Engine
}

// Engine is the published performance of a service's model engines.
type Engine struct {
	// Slots is the number of requests that one replica processes at the same time.
	Slots int
	// Models are the models that replicas are formed for.
	Models []Model
	// StepTime is the time of one token step, without the time that each sequence adds.
	StepTime time.Duration
	// StepTimePerSequence is the time that each decoding sequence adds to a token step.
	StepTimePerSequence time.Duration
	// PrefillRate is the number of prompt tokens prefilled per second.
	PrefillRate float64
	// StepsPerIteration is the number of token steps in one iteration of continuous batching.
	StepsPerIteration int
	// LoadsPerSecond bounds how many loads of weights may start per second.
	LoadsPerSecond float64
	// ConcurrentLoads is how many loads of weights can run at full speed at the same time.
	ConcurrentLoads int
	// OpenTime is the time from the order to open a group to the group's first request.
	OpenTime time.Duration
	// CrossDomainSlowdown is how many times slower a group is if its members are in different domains.
	CrossDomainSlowdown float64
	// TypicalSize is the mean size of requests.
	TypicalSize RequestSize
	// KVCapacity is how many tokens all requests of one replica may have together, 0 if unknown.
	KVCapacity ident.Tokens
}

// RequestSize is the size of a request's prompt and answer in tokens.
type RequestSize struct {
	Prompt ident.Tokens
	Answer ident.Tokens
}

// Model is one model and the size of its replicas.
type Model struct {
	Name ident.Model
	// Size is the number of upstreams in one replica.
	Size int
	// InitialShare is the fraction of the upstreams that the model gets until demand is known.
	InitialShare float64
	// TimeFactor multiplies all times of the engine.
	TimeFactor float64
	// LoadTime is the time to load the weights from the weight store.
	LoadTime time.Duration
	// WarmLoadTime is the time to load the weights from the host.
	WarmLoadTime time.Duration
}

// Model returns the model of that name and whether it exists.
func (e *Engine) Model(name ident.Model) (*Model, bool) {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i], true
		}
	}
	return nil, false
}

// Customer is one tenant.
type Customer struct {
	Name ident.Customer
	// KeyHashes are the SHA-256 hashes of the customer's API keys, in hex.
	KeyHashes []string
	// Priority has a meaning only if HasPriority is set.
	Priority    int
	HasPriority bool
	// HomeRegions restricts regions in the same way as that of a route, and in addition to it.
	HomeRegions []ident.Region
}

// Limits bounds the size and time of requests and the idle time of connections; 0 means the default.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
