package admission_test

import (
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/admission"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/routing"
)

func BenchmarkAdmit(b *testing.B) {
	controller := admission.NewController()
	controller.SetShares(map[ident.Customer]admission.Share{"c": {Concurrent: 100, RequestsPerSecond: 1e9, TokensPerSecond: 1e12}})
	a := &admission.Request{
		Customer: "c", Class: "interactive", Model: "m", Tokens: 100, Deadline: time.Now().Add(time.Hour),
		Reserve: func(time.Time) routing.Outcome { return routing.Chosen },
	}
	b.ReportAllocs()
	for b.Loop() {
		if err := controller.Admit(b.Context(), a); err != nil {
			b.Fatal(err)
		}
		controller.Finish(a, time.Millisecond, 10)
	}
}
