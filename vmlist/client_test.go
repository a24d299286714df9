package vmlist_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/fleet"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/transport"
	"github.com/dunlinquay/dunlinquay/vmlist"
)

func TestList(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		body   string
		code   result.Code
		want   []fleet.Listing
		valid  []bool
	}{
		{"empty", 200, `{"vms":[]}`, result.OK, nil, nil},
		{"states", 200, `{"vms":[{"name":"a","stay":"live"},{"name":"b","stay":"leaving"},{"name":"c","stay":"gone"},{"name":"d"}]}`, result.OK,
			[]fleet.Listing{fleet.ListingLive, fleet.ListingLeaving, fleet.ListingGone, fleet.ListingLive}, []bool{false, false, false, false}},
		{"unknown state counts as leaving", 200, `{"vms":[{"name":"a","stay":"frozen"}]}`, result.OK, []fleet.Listing{fleet.ListingLeaving}, []bool{false}},
		{"complete upstream", 200, `{"vms":[{"name":"a","address":"10.0.0.1:9","hall":"h","domain":"d","accelerators":8}]}`, result.OK,
			[]fleet.Listing{fleet.ListingLive}, []bool{true}},
		{"upstream without accelerators", 200, `{"vms":[{"name":"a","address":"10.0.0.1:9","hall":"h","domain":"d"}]}`, result.OK,
			[]fleet.Listing{fleet.ListingLive}, []bool{false}},
		{"truncated", 200, `{"vms":[{"name":"a"`, result.UpstreamMalformed, nil, nil},
		{"error status", 500, `{}`, result.UpstreamFailed, nil, nil},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(c.status)
			_, _ = io.WriteString(w, c.body)
		}))
		list, err := vmlist.NewClient(transport.TCP(), server.URL).List(t.Context())
		server.Close()
		if code := result.CodeOf(err); code != c.code {
			t.Errorf("%s: code %d, want %d: %v", c.name, code, c.code, err)
		}
		if err != nil {
			continue
		}
		var listings []fleet.Listing
		var valid []bool
		for i := range list.VMs {
			listings = append(listings, list.VMs[i].State.Listing())
			valid = append(valid, list.VMs[i].Valid())
		}
		if diff := cmp.Diff(c.want, listings) + cmp.Diff(c.valid, valid); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
}
