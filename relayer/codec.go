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
	plain   byte = 0
	deflate byte = 1
)

// packet is the size in bytes from which messages are compressed: what is shorter is one
// packet anyway. Configurations and rows shrink to a third, which counts on narrow links.
const packet = 1300

// encode writes a message.
func encode(v any) ([]byte, error) {
	text, err := cbor.Marshal(v)
	if err != nil {
		return nil, err
	}
	if len(text) < packet {
		return append([]byte{plain}, text...), nil
	}
	b := bytes.NewBuffer([]byte{deflate})
	w, err := flate.NewWriter(b, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(text); err != nil {
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
	text := message[1:]
	switch message[0] {
	case plain:
	case deflate:
		var err error
		if text, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(text)), maxMessage)); err != nil {
			return fmt.Errorf("unpack a message: %w", err)
		}
	default:
		return fmt.Errorf("the message is of an unknown kind %d", message[0])
	}
	return cbor.Unmarshal(text, into)
}
