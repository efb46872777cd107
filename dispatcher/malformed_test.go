package dispatcher_test

import (
	"context"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
	"laburnumline/dispatcher"
	"laburnumline/emulator"
)

// Guards against malformed answers of services that are handed on to callers. The call may have been executed.
func TestMalformedServiceResponsesAreFailures(t *testing.T) {
	for _, tt := range emulator.FaultyAnswers("Content-Type: application/json\r\n", `{"net":1}`) {
		t.Run(tt.Name, func(t *testing.T) {
			d := dispatcher.New(dispatcher.Config{})
			defer d.Close()
			response, err := callPeer(t, d, startPeer(t, tt.PeerAnswer), 4)
			require.Nil(t, response, "taken for a response")
			require.NotEqual(t, dispatcher.NotSent, requireFailure(t, err).Phase)
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
			if err != nil {
				return err
			}
			if _, err = readAll(t, s); err == io.EOF { // a failure may wrap it
				return nil
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
		for _, answer := range emulator.FaultyAnswers(tt.fields, tt.body) {
			if tt.name == "order" && answer.Name == "cut, orderly end" {
				continue // the status says what became of an order
			}
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
