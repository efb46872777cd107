package conductor

import (
	"net/http"
	"time"

	"laburnumline/contractor"
)

// Identity is an authenticated caller.
type Identity struct {
	Member   contractor.Member
	Contract *contractor.Contract
	// Revision is the contract's revision in the store.
	Revision contractor.Revision
}

// Completion is a request to a model engine.
type Completion struct {
	Identity Identity
	Key      contractor.RequestKey
	// HasIdempotencyKey is true when the caller sent an Idempotency-Key.
	HasIdempotencyKey bool
	Model             string
	// Body is the request as the engine receives it.
	Body []byte
	// PromptTokens is an upper bound of the prompt's size.
	PromptTokens contractor.Tokens
	// MaxOutput is the maximum output that the caller permits.
	MaxOutput contractor.Tokens
	// MinOutput is the lowest limit on the output that the caller accepts when
	// the budget is short. Zero means that MaxOutput may not be lowered.
	MinOutput contractor.Tokens
	// PrefixDigests are digests of the prompt's blocks, first block first. Each
	// digest also covers the blocks before it.
	PrefixDigests []uint64
	Priority      int
	Deadline      time.Time
}

// Chunk is one part of an engine's streamed response. Data is valid only during
// the call that passes it.
type Chunk struct {
	// Data is the payload of one server-sent event, without framing.
	Data []byte
	// Offset is the number of output tokens before this chunk.
	Offset contractor.Tokens
	// Tokens is the number of output tokens in this chunk.
	Tokens contractor.Tokens
	// More is true when the next chunk has already arrived. A sink may delay
	// its flush until then.
	More bool
}

// Usage is the number of tokens that an engine call consumed.
type Usage struct {
	PromptTokens contractor.Tokens
	OutputTokens contractor.Tokens
}

// Total returns the billed tokens.
func (u Usage) Total() contractor.Tokens { return u.PromptTokens + u.OutputTokens }

// Sink receives the chunks of one response in order.
type Sink interface {
	// WriteChunk sends one chunk to the caller. An error means that the caller
	// has disconnected.
	WriteChunk(c Chunk) error
}

// ServiceCall is a request to a plain service.
type ServiceCall struct {
	Identity          Identity
	Key               contractor.RequestKey
	HasIdempotencyKey bool
	Service           string
	Method            string
	// Path is the path and query below the service's base URL.
	Path     string
	Header   http.Header
	Body     []byte
	Deadline time.Time
}

// Response is the complete response of a plain service.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Replayed is true when the response of an earlier call was stored and is
	// returned again.
	Replayed bool
}
