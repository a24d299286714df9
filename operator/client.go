package operator

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/dghubble/sling"

	"github.com/dunlinquay/dunlinquay/fleet"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/planner"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/transport"
)

const maxAnswer = 256 << 20

// Client calls the operators' interface of one daemon.
type Client struct {
	// URL is the daemon's base URL, Key the operator's key.
	URL  string
	Key  string
	HTTP *http.Client
}

// NewClient returns a client of the daemon at url.
func NewClient(url, key string) *Client {
	return &Client{URL: strings.TrimSuffix(url, "/"), Key: key, HTTP: transport.New(transport.KeepAlive, transport.TCP())}
}

func (c *Client) base() *sling.Sling {
	return sling.New().Set("Authorization", "Bearer "+c.Key)
}

func (c *Client) send(ctx context.Context, s *sling.Sling) (*http.Response, error) {
	r, err := s.Request()
	if err != nil {
		return nil, result.Wrap(err, result.Usage, "%s is not a usable URL", c.URL)
	}
	w, err := c.HTTP.Do(r.WithContext(ctx))
	if err != nil {
		return nil, result.Wrap(transport.Classify(err), result.DaemonUnreached, "%s", c.URL)
	}
	if w.StatusCode == http.StatusOK {
		return w, nil
	}
	defer w.Body.Close()
	var f Failure
	if err := json.NewDecoder(io.LimitReader(w.Body, maxBody)).Decode(&f); err != nil || f.Code == result.OK {
		return nil, result.New(result.DaemonUnreached, "%s answered with status %d; is it the operators' address?", c.URL, w.StatusCode)
	}
	return nil, result.New(f.Code, "%s", f.Text)
}

func (c *Client) call(ctx context.Context, s *sling.Sling, into any) error {
	w, err := c.send(ctx, s)
	if err != nil {
		return err
	}
	defer w.Body.Close()
	if err := json.NewDecoder(io.LimitReader(w.Body, maxAnswer)).Decode(into); err != nil {
		return result.Wrap(err, result.DaemonUnreached, "answer of %s cannot be read", c.URL)
	}
	return nil
}

func (c *Client) get(ctx context.Context, path string, into any) error {
	return c.call(ctx, c.base().Get(c.URL+path), into)
}

// Change sends a change and returns the revision that accepted it.
func (c *Client) Change(ctx context.Context, change *Change) (ident.Revision, error) {
	var a Accepted
	err := c.call(ctx, c.base().Post(c.URL+PathChanges).BodyJSON(change), &a)
	return a.Revision, err
}

// Admit takes in a control member's new data folder.
func (c *Client) Admit(ctx context.Context, member ident.Daemon) error {
	var ignored struct{}
	return c.call(ctx, c.base().Post(c.URL+PathAdmit).BodyJSON(AdmitRequest{member}), &ignored)
}

// History returns the newest changes, oldest first.
func (c *Client) History(ctx context.Context, limit int) (list []fleet.HistoryEntry, err error) {
	query := struct {
		Limit int `url:"limit"`
	}{limit}
	err = c.call(ctx, c.base().Get(c.URL+PathChanges).QueryStruct(query), &list)
	return list, err
}

// Groups returns all groups by name.
func (c *Client) Groups(ctx context.Context) (list []GroupView, err error) {
	err = c.get(ctx, PathGroups, &list)
	return list, err
}

// Group returns one group.
func (c *Client) Group(ctx context.Context, name ident.Group) (v GroupView, err error) {
	err = c.get(ctx, PathGroups+"/"+string(name), &v)
	return v, err
}

// Explain says why a group is or is not whole.
func (c *Client) Explain(ctx context.Context, name ident.Group) (e planner.Explanation, err error) {
	err = c.get(ctx, PathGroups+"/"+string(name)+"/why", &e)
	return e, err
}

// VMs returns all VMs by name.
func (c *Client) VMs(ctx context.Context) (list []VMView, err error) {
	err = c.get(ctx, PathVMs, &list)
	return list, err
}

// VM returns one VM.
func (c *Client) VM(ctx context.Context, name ident.VM) (v VMView, err error) {
	err = c.get(ctx, PathVMs+"/"+string(name), &v)
	return v, err
}

// Limits returns the limits that operators have set.
func (c *Client) Limits(ctx context.Context) (limits map[ident.Customer]fleet.CustomerLimits, err error) {
	err = c.get(ctx, PathLimits, &limits)
	return limits, err
}

// Status returns the system as the daemon knows it.
func (c *Client) Status(ctx context.Context) (s Status, err error) {
	err = c.get(ctx, PathStatus, &s)
	return s, err
}

// Wait returns when the revision is in force everywhere, or after timeout (a Go duration) with what is missing.
func (c *Client) Wait(ctx context.Context, revision ident.Revision, timeout string) (f InForce, err error) {
	query := struct {
		Revision ident.Revision `url:"revision"`
		Timeout  string         `url:"timeout"`
	}{revision, timeout}
	err = c.call(ctx, c.base().Get(c.URL+PathWait).QueryStruct(query), &f)
	return f, err
}

// Watch calls fn with each change after a revision until fn or the connection ends.
func (c *Client) Watch(ctx context.Context, after ident.Revision, fn func(h fleet.HistoryEntry) error) error {
	query := struct {
		After ident.Revision `url:"after"`
	}{after}
	w, err := c.send(ctx, c.base().Get(c.URL+PathWatch).QueryStruct(query))
	if err != nil {
		return err
	}
	defer w.Body.Close()
	lines := bufio.NewScanner(w.Body)
	lines.Buffer(nil, maxBody)
	for lines.Scan() {
		var h fleet.HistoryEntry
		if err := json.Unmarshal(lines.Bytes(), &h); err != nil {
			return result.Wrap(err, result.DaemonUnreached, "a change cannot be read")
		}
		if err := fn(h); err != nil {
			return err
		}
	}
	return result.New(result.DaemonUnreached, "%s ended the watch", c.URL)
}
