package site_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/site"
	"github.com/dunlinquay/dunlinquay/transport"
)

// leader returns the host of the control daemon that leads.
func (d *daemons) leader(hosts ...string) string {
	d.t.Helper()
	leader := ""
	d.waitUntil("a daemon leads", func() bool {
		s, err := site.Inspect(context.Background(), transport.TCP(), d.peers(hosts...))
		for _, host := range hosts {
			if err == nil && d.peers(host)[0] == s.Leader {
				leader = host
				return true
			}
		}
		return false
	})
	return leader
}

// A control daemon that stops by plan while it leads hands leadership over and answers the calls in progress. It stopped its quorum member
// first, so that the others had to notice the loss, and closed the connections of the calls.
func TestLeaderStopsByPlan(t *testing.T) {
	d := newDaemons(t)
	called, answer := make(chan struct{}), make(chan struct{})
	d.calls = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(called)
		<-answer
		_, _ = io.WriteString(w, "done")
	})
	var handedOver sync.Map
	d.log = func(host, line string) {
		if strings.Contains(line, "leadership handed over") {
			handedOver.Store(host, true)
		}
	}
	hosts := []string{"127.0.1.1", "127.0.1.2", "127.0.1.3"}
	for _, host := range hosts {
		d.startControl(host, true)
	}
	d.waitUntilReplaced(hosts[0], 1)
	for _, host := range hosts {
		d.waitForVoters(host, 3)
	}
	leader := d.leader(hosts...)
	got := make(chan string)
	go func() { got <- d.get(leader, "/") }()
	<-called
	stopping := d.running[leader]
	stopping.control.Stop()
	d.waitUntil("another daemon leads while the call is in progress", func() bool {
		s, err := site.Inspect(context.Background(), transport.TCP(), d.peers(hosts...))
		return err == nil && s.Leader != "" && s.Leader != d.peers(leader)[0]
	})
	select {
	case <-stopping.done:
		t.Error("the daemon has ended with a call in progress")
	default:
	}
	if _, ok := handedOver.Load(leader); !ok {
		t.Error("the leadership was not handed over")
	}
	close(answer)
	if text := <-got; text != "done" {
		t.Errorf("the call got %q", text)
	}
	select {
	case <-stopping.done:
	case <-time.After(conditionTimeout):
		t.Error("the daemon does not end")
	}
}
