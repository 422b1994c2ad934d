package forkline_test

import (
	"fmt"

	"forkline"
)

// A sidecar owns the clock, the sockets and one Balancer. It turns what happens into events and carries out
// the actions in order.
func Example() {
	settings := forkline.Settings{
		Copies:  1,
		Classes: []forkline.Class{{Name: "read", Value: 1, TargetLatency: 300, Timeout: 1000, Effect: forkline.Safe}},
		Limits:  forkline.Limits{MaxAttempts: 3},
		Safety:  forkline.Safety{AnswerSlack: 20, DrainGrace: 1000, ColdCapacity: 0.2, RampTime: 10000, PollInterval: 10000},
	}
	now := 0.0 // ms; a real sidecar reads its monotonic clock
	b, err := forkline.New(settings, 42, now)
	if err != nil {
		fmt.Println(err)
		return
	}
	var actions []forkline.Action // reused: Handle appends to it
	actions = b.Handle(now, &forkline.Event{
		Kind: forkline.EvList, List: forkline.ListFull,
		Servers: []forkline.ServerEntry{{Server: 1, Weight: 1}},
	}, actions[:0])

	actions = b.Handle(now, &forkline.Event{Kind: forkline.EvRequest, Request: 7, Deadline: 900}, actions[:0])
	for _, a := range actions {
		if a.Kind == forkline.ActSend {
			fmt.Printf("send request %d to server %d, deadline at %.0f ms\n", a.Request, a.Server, a.Deadline)
		}
	}
	now = 25
	actions = b.Handle(now, &forkline.Event{
		Kind: forkline.EvOutcome, Request: 7, Server: 1, Outcome: forkline.Error, Elapsed: 25,
	}, actions[:0])
	for _, a := range actions {
		if a.Kind == forkline.ActSend {
			fmt.Printf("the class is safe: send request %d again\n", a.Request)
		}
	}
	// Output:
	// send request 7 to server 1, deadline at 900 ms
	// the class is safe: send request 7 again
}
