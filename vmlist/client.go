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

// PathVMs is the path of the list, relative to the platform's URL.
const PathVMs = "/platform/v1/vms"

const maxListBytes = 64 << 20

// State is the lifecycle state of a VM, as the platform names it.
type State string

// The lifecycle states of a VM: in use, about to be taken away, taken away.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
	StateGone    State = "gone"
)

// ListedVM is one VM of the list. With an address, it registers a new upstream; without one, it only updates the VM's state.
type ListedVM struct {
	settings.Upstream
	State State `json:"stay"`
}

// List is the platform's list of VMs. The list may be incomplete, so VMs that it does not name stay unchanged.
type List struct {
	VMs []ListedVM `json:"vms"`
}

// Client reads the list of the platform at URL.
type Client struct {
	URL  string
	HTTP *http.Client
}

// NewClient returns a client of the platform at url.
func NewClient(dial transport.Dial, url string) *Client {
	return &Client{URL: url, HTTP: transport.New(transport.KeepAlive, dial)}
}

// List requests the current list.
func (c *Client) List(ctx context.Context) (*List, error) {
	r, err := sling.New().Get(c.URL + PathVMs).Request()
	if err != nil {
		return nil, result.Wrap(err, result.UpstreamFailed, "cannot build request for the platform's VM list")
	}
	w, err := c.HTTP.Do(r.WithContext(ctx))
	if err != nil {
		return nil, transport.Classify(err)
	}
	defer w.Body.Close()
	if w.StatusCode != http.StatusOK {
		return nil, result.New(result.UpstreamFailed, "platform answered the VM list request with status %d", w.StatusCode)
	}
	list := &List{}
	if err := json.NewDecoder(io.LimitReader(w.Body, maxListBytes)).Decode(list); err != nil {
		return nil, result.Wrap(err, result.UpstreamMalformed, "cannot decode the platform's VM list")
	}
	return list, nil
}

// Listing converts s to the state machine's type. An unknown state counts as leaving, so that the VM gets no new work.
func (s State) Listing() fleet.Listing {
	switch s {
	case StateLive, "":
		return fleet.ListingLive
	case StateGone:
		return fleet.ListingGone
	}
	return fleet.ListingLeaving
}

// FleetVM converts u to the form in which the state machine registers it; an unset speed becomes 1.
func FleetVM(u *settings.Upstream) fleet.VM {
	speed := u.Speed
	if speed == 0 {
		speed = 1
	}
	return fleet.VM{
		Name: u.Name, Address: u.Address, Hall: u.Hall, Domain: u.Domain, Accelerators: u.Accelerators,
		Speed: speed, ChecksOrders: u.ChecksOrders, Labels: u.Labels,
	}
}

// Valid reports whether the entry has all fields that registering an upstream requires.
func (e *ListedVM) Valid() bool {
	return ident.ValidName(string(e.Name)) && e.Address != "" && e.Hall != "" && e.Domain != "" && e.Accelerators > 0
}
