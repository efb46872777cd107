package watcher

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"laburnumline/contractor"
)

// CompressedContract is a contract in compressed form, in which daemons cache and
// exchange it. It takes about a ninth of the memory of a decoded contract.
type CompressedContract struct {
	// Size is the size of the decompressed contract in bytes.
	Size int `cbor:"1,keyasint"`
	// Data is the contract in CBOR, compressed by DEFLATE.
	Data []byte `cbor:"2,keyasint"`
}

// maxDecompressedSize limits the memory that a response of another daemon can
// make this daemon allocate.
const maxDecompressedSize = 8 << 20 // bytes

// compressors and decompressors are reused: a new one takes hundreds of kilobytes.
var (
	compressors = sync.Pool{New: func() any {
		w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
		if err != nil {
			panic(err) // the level is valid
		}
		return w
	}}
	decompressors = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}
)

func compress(c *contractor.Contract) (*CompressedContract, error) {
	raw, err := cbor.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode contract of %q: %w", c.Account, err)
	}
	var out bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&out)
	if _, err := w.Write(raw); err != nil {
		return nil, fmt.Errorf("compress contract of %q: %w", c.Account, err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress contract of %q: %w", c.Account, err)
	}
	return &CompressedContract{Size: len(raw), Data: bytes.Clone(out.Bytes())}, nil
}

func (c *CompressedContract) decompress() (*contractor.Contract, error) {
	if c.Size < 0 || c.Size > maxDecompressedSize {
		return nil, fmt.Errorf("contract of %d bytes, allowed: %d", c.Size, maxDecompressedSize)
	}
	r := decompressors.Get().(io.ReadCloser)
	defer decompressors.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(c.Data), nil); err != nil {
		return nil, fmt.Errorf("decompress contract: %w", err)
	}
	raw := make([]byte, c.Size)
	if _, err := io.ReadFull(r, raw); err != nil {
		return nil, fmt.Errorf("decompress contract: %w", err)
	}
	contract := new(contractor.Contract)
	if err := cbor.Unmarshal(raw, contract); err != nil {
		return nil, fmt.Errorf("decode contract: %w", err)
	}
	return contract, nil
}

func (c *CompressedContract) bytes() int {
	if c == nil {
		return 0
	}
	return len(c.Data) + len(c.Data)/allocatorOverheadDivisor
}
