package localfleet

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/stretchr/testify/require"

	"tidedeck/internal/failure"
	"tidedeck/internal/history"
)

// historyCheckLimit bounds the time of the linearizability check.
const historyCheckLimit = time.Minute

// observer records the operations of a fleet's operators and readers, with their results.
type observer struct {
	testFleet
	recorder  history.Recorder
	startedAt time.Time
}

// startObserver begins a history of a fleet whose first plan is in force.
func (f testFleet) startObserver() *observer {
	o := &observer{testFleet: f, startedAt: time.Now()}
	o.recorder.Invoke(history.Operation{Kind: history.Put, Change: "the first plan", Body: f.Plan, Invoke: -1}).Taken(-1, 1)
	return o
}

func (o *observer) now() int64 { return int64(time.Since(o.startedAt)) }

// putPlanRecorded submits a plan, as PutPlan does, and records the operation.
func (o *observer) putPlanRecorded(core string, plan []byte, expect uint64, id string) (PlanReply, int, error) {
	pending := o.recorder.Invoke(history.Operation{Kind: history.Put, Node: core, Change: id, ExpectedVersion: expect, Body: plan, Invoke: o.now()})
	answer, code, err := o.PutPlan(core, plan, fmt.Sprint(expect), id)
	kind := failure.Kind(answer.Kind)
	switch {
	case err != nil:
		pending.Unclear()
	case code == http.StatusOK:
		pending.Taken(o.now(), answer.Epoch)
	case kind == failure.Conflict:
		pending.Conflict(o.now(), answer.Epoch)
	case kind == failure.NotReady || kind == failure.Full:
		pending.NoEffect()
	default:
		pending.Unclear()
	}
	return answer, code, err
}

// readPlanRecorded reads the plan from a core node and records the operation.
func (o *observer) readPlanRecorded(core string) (string, bool) {
	pending := o.recorder.Invoke(history.Operation{Kind: history.Read, Node: core, Invoke: o.now()})
	raw, ok := o.readPlan(core)
	if !ok {
		pending.NoEffect()
		return "", false
	}
	pending.AnsweredBytes(o.now(), []byte(raw))
	return raw, true
}

// startReaders reads the plan from each core node repeatedly until stop is called.
func (o *observer) startReaders(cores ...string) (stop func()) {
	done := make(chan struct{})
	var group sync.WaitGroup
	for _, core := range cores {
		group.Add(1)
		go func() {
			defer group.Done()
			for {
				select {
				case <-done:
					return
				case <-o.ctx.Done():
					return
				case <-time.After(25 * time.Millisecond):
					o.readPlanRecorded(core)
				}
			}
		}()
	}
	return func() {
		close(done)
		group.Wait()
	}
}

// check requires the recorded history to be linearizable.
func (o *observer) check() {
	o.t.Helper()
	result := history.Check(o.recorder.Operations(), func(plan, patch []byte) ([]byte, bool) {
		merged, err := jsonpatch.MergePatch(plan, patch)
		return merged, err == nil
	}, historyCheckLimit)
	require.Equal(o.t, history.Linearizable, result.Verdict, result.Reason)
	o.t.Logf("%d operations are linearizable", result.Operations)
}
