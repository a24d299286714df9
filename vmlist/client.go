package vmlist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/dghubble/sling"

	"github.com/dunlinquay/dunlinquay/fleet"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/settings"
	"github.com/dunlinquay/dunlinquay/transport"
)

// PathVMs is the path of the list below the platform's URL.
const PathVMs = "/platform/v1/vms"

const maxListBytes = 64 << 20

// Stay is the platform's word for a VM's stay.
type Stay string

// The stays.
const (
	StayLive    Stay = "live"
	StayLeaving Stay = "leaving"
	StayGone    Stay = "gone"
)

// Entry is one VM of the list; a VM with an address is a new upstream, one without only changes its stay.
type Entry struct {
	settings.Upstream
	Stay Stay `json:"stay"`
}

// List is the platform's list; VMs that it does not name are left as they are, because it may be incomplete.
type List struct {
	VMs []Entry `json:"vms"`
}

// Client reads the list at URL.
type Client struct {
	URL  string
	HTTP *http.Client
}

// NewClient returns a client of the platform at url.
func NewClient(dial transport.Dial, url string) *Client {
	return &Client{URL: url, HTTP: transport.New(transport.Kept, dial)}
}

// List returns the present list.
func (c *Client) List(ctx context.Context) (*List, error) {
	r, err := sling.New().Get(c.URL + PathVMs).Request()
	if err != nil {
		return nil, result.Wrap(err, result.UpstreamFailed, "platform's list cannot be asked for")
	}
	w, err := c.HTTP.Do(r.WithContext(ctx))
	if err != nil {
		return nil, transport.Classify(err)
	}
	defer w.Body.Close()
	if w.StatusCode != http.StatusOK {
		return nil, result.New(result.UpstreamFailed, "platform answered with status %d", w.StatusCode)
	}
	list := &List{}
	if err := json.NewDecoder(io.LimitReader(w.Body, maxListBytes)).Decode(list); err != nil {
		return nil, result.Wrap(err, result.UpstreamMalformed, "platform's list cannot be read")
	}
	return list, nil
}

// Listing returns the state machine's word for s; an unknown word counts as leaving, which takes no new work.
func (s Stay) Listing() fleet.Listing {
	switch s {
	case StayLive, "":
		return fleet.ListingLive
	case StayGone:
		return fleet.ListingGone
	}
	return fleet.ListingLeaving
}

// VM returns the upstream as the state machine registers it.
func VM(u *settings.Upstream) fleet.VM {
	speed := u.Speed
	if speed == 0 {
		speed = 1
	}
	return fleet.VM{
		Name: u.Name, Address: u.Address, Hall: u.Hall, Domain: u.Domain, Accelerators: u.Accelerators,
		Speed: speed, ChecksOrders: u.ChecksOrders, Labels: u.Labels,
	}
}

// Valid reports whether an entry names a whole upstream.
func (e *Entry) Valid() bool {
	return ident.ValidName(string(e.Name)) && e.Address != "" && e.Hall != "" && e.Domain != "" && e.Accelerators > 0
}
