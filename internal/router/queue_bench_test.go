package router

import (
	"fmt"
	"testing"

	"tidedeck/internal/fleetplan"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// BenchmarkPass measures one pass over a queue that nothing can leave, since every slot of its two servers is taken.
func BenchmarkPass(b *testing.B) {
	for _, mode := range []struct {
		name  string
		paths []string
	}{
		{"repeatable", []string{"/llm/x"}},
		{"once", []string{"/llm/stream/x"}},
		{"mixed", []string{"/llm/x", "/llm/stream/x", "/llm/resume/x"}},
	} {
		for _, tried := range []bool{false, true} {
			for _, waiting := range []int{10, 512, 2048} {
				b.Run(fmt.Sprintf("%s/tried=%v/%d", mode.name, tried, waiting), func(b *testing.B) {
					router := newFullRouter(waiting, tried, mode.paths)
					b.ReportAllocs()
					for b.Loop() {
						router.now++
						router.serveAll()
					}
				})
			}
		}
	}
}

// newFullRouter returns a router with requests that wait for a model whose two servers have no free slot. With tried
// set, the first of them has failed at one of the servers.
func newFullRouter(waiting int, tried bool, paths []string) *testRouter {
	const slots = 4
	router := newHostedRouter(nil, Options{MaxQueued: waiting, MaxQueuedPerKey: waiting, RetryMargin: 100})
	e := &protocol.Entry{Key: "llm|m", Digest: 1}
	for _, s := range []ident.Server{"s1", "s2"} {
		e.Replicas = append(e.Replicas, protocol.Replica{Server: s, Addr: string(s), Zone: "z", Slots: slots})
	}
	router.deliverItem(protocol.Update{Entry: e})
	if tried {
		ref, l, _ := router.callPath("/llm/x", fleetplan.Request{Model: "m", Horizon: 3e9})
		router.MaySend(router.at, ref, l.N)
		for range 2 * slots {
			router.callPath("/llm/x", fleetplan.Request{Model: "m"})
		}
		router.Step(router.at, Ended{Ref: ref, N: l.N, Outcome: Lost})
		router.callPath("/llm/x", fleetplan.Request{Model: "m"})
	}
	for n := 0; router.queued < waiting; n++ {
		router.callPath(paths[n%len(paths)], fleetplan.Request{Model: "m", PromptTokens: 100 * (n % 7)})
	}
	return router
}
