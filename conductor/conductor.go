// Package conductor defines the data that the processing steps of a request
// exchange: the authenticated caller, the parsed request, and the response.
//
// Package server parses a caller's HTTP request into a Completion (a call of a
// model engine) or a ServiceCall (a call of a plain service). Package executor
// executes it, and package dispatcher sends it to an upstream. The chunks of an
// engine's streamed response go to a Sink in order:
//
//	usage, err := executor.Complete(ctx, &conductor.Completion{Model: "draft-7b", ...}, sink)
package conductor
