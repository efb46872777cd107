package relayer

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// A message is one byte that names the format of the rest, followed by CBOR, which may be
// compressed.
const (
	formatPlain   byte = 0
	formatDeflate byte = 1
)

// compressionThreshold is the size in bytes from which messages are compressed. Shorter
// messages fit into one network packet uncompressed. Compression reduces configurations and
// rows to a third of their size, which matters on links of low bandwidth.
const compressionThreshold = 1300

// compressors and decompressors hold idle ones. A compressor takes more than 600 KB, and a relay
// sends some hundred messages a second.
var compressors, decompressors sync.Pool

// compressorFor returns a compressor that writes to b.
func compressorFor(b *bytes.Buffer) (*flate.Writer, error) {
	if w, ok := compressors.Get().(*flate.Writer); ok {
		w.Reset(b)
		return w, nil
	}
	return flate.NewWriter(b, flate.BestSpeed)
}

// encode returns v as a message.
func encode(v any) ([]byte, error) {
	payload, err := cbor.Marshal(v)
	if err != nil {
		return nil, err
	}
	if len(payload) < compressionThreshold {
		return append([]byte{formatPlain}, payload...), nil
	}
	b := bytes.NewBuffer([]byte{formatDeflate})
	w, err := compressorFor(b)
	if err != nil {
		return nil, err
	}
	defer compressors.Put(w)
	if _, err := w.Write(payload); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// decompress returns up to maxMessage bytes of the content.
func decompress(compressed []byte) ([]byte, error) {
	r, ok := decompressors.Get().(io.ReadCloser)
	if !ok {
		r = flate.NewReader(bytes.NewReader(compressed))
	} else if err := r.(flate.Resetter).Reset(bytes.NewReader(compressed), nil); err != nil {
		return nil, err
	}
	defer decompressors.Put(r)
	return io.ReadAll(io.LimitReader(r, maxMessage))
}

// decode reads a message. It returns an error if the decompressed content exceeds maxMessage.
func decode(message []byte, into any) error {
	if len(message) == 0 {
		return errors.New("the message is empty")
	}
	payload := message[1:]
	switch message[0] {
	case formatPlain:
	case formatDeflate:
		var err error
		if payload, err = decompress(payload); err != nil {
			return fmt.Errorf("unpack a message: %w", err)
		}
	default:
		return fmt.Errorf("the message is of an unknown kind %d", message[0])
	}
	return cbor.Unmarshal(payload, into)
}
