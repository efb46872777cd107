package dispatcher_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
	"laburnumline/dispatcher"
	"laburnumline/emulator"
)

// malformed returns the answers of faulty upstreams that no reader may take for one.
func malformed(fields, body string) []emulator.NamedAnswer {
	return append(emulator.StatusFaults(fields, body), emulator.FieldFaults(fields, body)...)
}

// Guards against malformed answers of services that are handed on to callers. The call may have been executed.
func TestMalformedServiceResponsesAreFailures(t *testing.T) {
	for _, tt := range malformed("Content-Type: text/plain\r\n", "done") {
		t.Run(tt.Name, func(t *testing.T) {
			d := dispatcher.New(dispatcher.Config{})
			defer d.Close()
			response, err := callPeer(t, d, startPeer(t, tt.PeerAnswer), 4)
			require.Nil(t, response, "taken for a response")
			require.Equal(t, dispatcher.NoResponse, requireFailure(t, err).Phase)
		})
	}
}

// The same for engines, and for what is read of them and sent to them beside calls.
func TestMalformedEngineResponsesAreFailures(t *testing.T) {
	const stream = "data: {\"id\":\"x\",\"choices\":[]}\n\ndata: [DONE]\n\n"
	tests := []struct {
		name, fields, body string
		call               func(d *dispatcher.Dispatcher, u contractor.Upstream) error
	}{
		{"call", "Content-Type: text/event-stream\r\n", stream, func(d *dispatcher.Dispatcher, u contractor.Upstream) error {
			s, err := d.CallEngine(context.Background(), dispatcher.EngineCall{Upstream: u, Key: key, Attempt: 1, Body: body})
			if err == nil {
				err = s.Close()
			}
			return err
		}},
		{"load", "Content-Type: application/json\r\n", `{"running":1}`, func(d *dispatcher.Dispatcher, u contractor.Upstream) error {
			_, err := d.FetchLoad(context.Background(), u)
			return err
		}},
		{"cache events", "Content-Type: application/json\r\n", `{"events":[]}`, func(d *dispatcher.Dispatcher, u contractor.Upstream) error {
			_, err := d.FetchCacheEvents(context.Background(), u, 0)
			return err
		}},
		{"order", "Content-Type: application/json\r\n", `{}`, func(d *dispatcher.Dispatcher, u contractor.Upstream) error {
			return d.SendOrder(context.Background(), u, dispatcher.Order{Action: dispatcher.LoadModel, Target: model})
		}},
	}
	for _, tt := range tests {
		for _, answer := range malformed(tt.fields, tt.body) {
			t.Run(tt.name+", "+answer.Name, func(t *testing.T) {
				d := dispatcher.New(dispatcher.Config{})
				defer d.Close()
				p := startPeer(t, answer.PeerAnswer)
				err := tt.call(d, contractor.Upstream{Name: "engine-1", URL: "http://" + p.Address().String()})
				require.NotEqual(t, dispatcher.NotSent, requireFailure(t, err).Phase, "it may have been executed")
			})
		}
	}
}
