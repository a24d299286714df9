package site

import (
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/roster"
)

// maxUndeclared bounds the upstreams whose report is kept for an undeclared service.
const maxUndeclared = 4096

// undeclared keeps the newest reports of upstreams whose service is not declared: these upstreams cannot be used until
// a configuration declares the service.
type undeclared struct {
	reports map[ident.Incarnation]undeclaredReport
	version httproute.Version
}

type undeclaredReport struct {
	*roster.Report
	receivedAt time.Time
}

// add keeps a report in place of an older one; the mutex of the leadership is held.
func (u *undeclared) add(now time.Time, report *roster.Report) {
	previous, ok := u.reports[report.ID]
	if ok && report.Sequence <= previous.Sequence {
		return
	}
	for id := range u.reports {
		if ok || len(u.reports) < maxUndeclared {
			break
		}
		delete(u.reports, id)
	}
	if u.reports == nil {
		u.reports = map[ident.Incarnation]undeclaredReport{}
	}
	u.reports[report.ID] = undeclaredReport{report, now}
}

// takeDeclared removes and returns the reports of services that a newer configuration declares; reports older than
// maxAge are dropped.
func (u *undeclared) takeDeclared(now time.Time, table *httproute.Table, maxAge time.Duration) []undeclaredReport {
	if u.version == table.Config.Version {
		return nil
	}
	u.version = table.Config.Version
	var list []undeclaredReport
	for id, r := range u.reports {
		known := table.Service(r.Service) != nil
		if known && now.Sub(r.receivedAt) < maxAge {
			list = append(list, r)
		}
		if known || now.Sub(r.receivedAt) >= maxAge {
			delete(u.reports, id)
		}
	}
	return list
}

// applyDeclared applies the reports of upstreams whose service has just been declared.
func (r *leadership) applyDeclared(now time.Time, table *httproute.Table) {
	r.mu.Lock()
	list := r.undeclared.takeDeclared(now, table, r.roster.SilentAfter)
	r.mu.Unlock()
	for _, report := range list {
		r.roster.ApplyReport(report.receivedAt, report.Report)
	}
}
