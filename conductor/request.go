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

// Completion is one call of a model engine.
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
	// MaxOutput is the largest output that the caller permits.
	MaxOutput contractor.Tokens
	// MinOutput is the smallest permitted output that the caller accepts when
	// the budget is short. Zero means that MaxOutput may not be lowered.
	MinOutput contractor.Tokens
	// PrefixDigests holds chained digests of the prompt's blocks, first block first.
	PrefixDigests []uint64
	Priority      int
	Deadline      time.Time
}

// Chunk is a part of an engine's answer. Data is only valid during the call that passes it.
type Chunk struct {
	// Data is the payload of one server-sent event, without framing.
	Data []byte
	// Offset is the number of output tokens before this chunk.
	Offset contractor.Tokens
	// Tokens is the number of output tokens in this chunk.
	Tokens contractor.Tokens
	// More is true when the next chunk has already arrived, so that a sink may
	// delay its flush until then.
	More bool
}

// Usage is what an engine call consumed.
type Usage struct {
	PromptTokens contractor.Tokens
	OutputTokens contractor.Tokens
}

// Total returns the billed tokens.
func (u Usage) Total() contractor.Tokens { return u.PromptTokens + u.OutputTokens }

// Sink receives the chunks of one answer in order.
type Sink interface {
	// WriteChunk passes one chunk on to the caller. An error means that the caller is gone.
	WriteChunk(c Chunk) error
}

// ServiceCall is one call of a plain service.
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

// Response is the whole answer of a plain service.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Replayed is true when the answer is the stored answer of an earlier call.
	Replayed bool
}
