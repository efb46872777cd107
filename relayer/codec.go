package relayer

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// A message is one byte that says how the rest is written, and then CBOR.
const (
	formatPlain   byte = 0
	formatDeflate byte = 1
)

// compressionThreshold is the size in bytes from which messages are compressed: what is shorter is one
// compressionThreshold anyway. Configurations and rows shrink to a third, which counts on narrow links.
const compressionThreshold = 1300

// encode writes a message.
func encode(v any) ([]byte, error) {
	payload, err := cbor.Marshal(v)
	if err != nil {
		return nil, err
	}
	if len(payload) < compressionThreshold {
		return append([]byte{formatPlain}, payload...), nil
	}
	b := bytes.NewBuffer([]byte{formatDeflate})
	w, err := flate.NewWriter(b, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(payload); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// decode reads a message. One that is longer than maxMessage when it is unpacked is an error.
func decode(message []byte, into any) error {
	if len(message) == 0 {
		return errors.New("the message is empty")
	}
	payload := message[1:]
	switch message[0] {
	case formatPlain:
	case formatDeflate:
		var err error
		if payload, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(payload)), maxMessage)); err != nil {
			return fmt.Errorf("unpack a message: %w", err)
		}
	default:
		return fmt.Errorf("the message is of an unknown kind %d", message[0])
	}
	return cbor.Unmarshal(payload, into)
}
