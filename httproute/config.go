package httproute

// A configuration is one value with one version. It is checked whole before it
// is accepted and compiled once into a Table; requests then only look up:
//
//	cfg -> Check -> replicated log -> NewTable(cfg) -> table.Route(host, path)

import (
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
)

// Version orders configurations; the highest one counts.
type Version uint64

// Kind says what may be done again when an attempt fails.
type Kind string

// The kinds of routes.
const (
	KindSafe   Kind = "safe"
	KindUnsafe Kind = "unsafe"
	KindStream Kind = "stream"
)

// Config is everything that operators declare, as one value.
type Config struct {
	Version   Version
	Routes    []Route
	Services  []Service
	Customers []Customer
	Limits    Limits
}

// Route leads the requests of one host and path prefix to services.
type Route struct {
	Name   ident.Class
	Host   string
	Prefix string
	Kind   Kind
	// Resumable streams may be continued at another upstream after the last event that was passed on.
	Resumable bool
	// Public routes need no key.
	Public   bool
	Split    []Share
	Timeout  time.Duration
	Aim      time.Duration
	GapAim   time.Duration
	Priority int
	Attempts int
	// Homes are the regions whose upstreams may get its requests, all where there are none.
	Homes []ident.Region
}

// Share is one service of a route and its weight.
type Share struct {
	Service ident.Service
	Weight  float64
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// Service is a set of interchangeable upstreams; Engine is nil for plain services.
type Service struct {
	Name           ident.Service
	HealthPath     string
	MaxConnections int
	// ColdRate is how many requests a second an upstream takes while it is cold, 0 when that is not bounded.
	ColdRate float64
	Engine   *Engine
}

// Engine is the published behaviour of a service's model engines.
type Engine struct {
	// Slots is the number of requests that one replica works on at once.
	Slots int
	// Models are the models that replicas are formed for.
	Models []Model
	// Step is the time of one token step, PerSequence the part added by each writing request.
	Step        time.Duration
	PerSequence time.Duration
	// ReadRate is the number of prompt tokens read in a second.
	ReadRate float64
	// Stride is the number of token steps in one pass.
	Stride int
	// LoadsPerSecond bounds the loads that may begin, ConcurrentLoads those that run at full speed.
	LoadsPerSecond  float64
	ConcurrentLoads int
	// OpenTime passes between the order to open a group and its first request.
	OpenTime time.Duration
	// FarFactor is how many times slower a group is when its members are in different domains.
	FarFactor float64
	Usual     Usual
	// Memory is how many tokens the requests of one replica may have together, 0 when that is not known.
	Memory ident.Tokens
}

// Usual is the mean size of requests, in tokens.
type Usual struct {
	Prompt ident.Tokens
	Answer ident.Tokens
}

// Model is one model and the size of its replicas.
type Model struct {
	Name ident.Model
	// Size is the number of upstreams in one replica.
	Size int
	// Share is the part of the upstreams that the model gets before demand is known.
	Share float64
	// Pace multiplies all times of the engine.
	Pace float64
	// Load is the time to fetch the weights from the store, Warm from the host.
	Load time.Duration
	Warm time.Duration
}

// Model returns the model of that name.
func (e *Engine) Model(name ident.Model) (*Model, bool) {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i], true
		}
	}
	return nil, false
}

// Customer is one tenant, the SHA-256 hashes of its keys in hex, and its priority when it has one.
type Customer struct {
	Name        ident.Customer
	KeyHashes   []string
	Priority    int
	HasPriority bool
	// Homes are as those of routes; both bind.
	Homes []ident.Region
}

// Limits bounds what a caller may send and how long a connection may stay idle.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
