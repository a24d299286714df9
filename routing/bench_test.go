package routing_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/routing"
)

func BenchmarkReserve(b *testing.B) {
	prefixes := routing.Prefixes([]byte(strings.Repeat("a prompt of some length ", 400)))
	for _, groups := range []int{4, 64, 1250} {
		for _, members := range []int{1, 8} {
			b.Run(fmt.Sprint(groups, "-groups-of-", members), func(b *testing.B) {
				var testTargets []*testTarget
				for i := range groups {
					testTargets = append(testTargets, newTestTarget(ident.Group(fmt.Sprint("g", i)), members))
				}
				table := newTable(1, testTargets...)
				request := &routing.Request{Model: "m", Prefixes: prefixes, PromptTokens: 2000}
				b.ReportAllocs()
				for b.Loop() {
					target, _ := table.Reserve(now, request)
					table.Release(target)
				}
			})
		}
	}
}
