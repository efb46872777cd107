package dispatcher

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlockBytes is the size of one block of a prompt.
const PrefixBlockBytes = 256

// PrefixDigests returns a digest for each whole block of a prompt, which is the
// compact JSON of the messages. Each digest covers the model, the block and all
// blocks before it. Engines publish the same digests in their cache events.
func PrefixDigests(model string, prompt []byte) []uint64 {
	digests := make([]uint64, 0, len(prompt)/PrefixBlockBytes)
	previous := xxhash.Sum64String(model)
	var input [8 + PrefixBlockBytes]byte
	for len(prompt) >= PrefixBlockBytes {
		binary.LittleEndian.PutUint64(input[:8], previous)
		copy(input[8:], prompt[:PrefixBlockBytes])
		previous = xxhash.Sum64(input[:])
		digests = append(digests, previous)
		prompt = prompt[PrefixBlockBytes:]
	}
	return digests
}
