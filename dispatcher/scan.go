package dispatcher

import "bytes"

// chunkFields holds the top-level fields of a chunk that the dispatcher reads.
// Slices point into the chunk. Offset and tokens are -1 when absent.
type chunkFields struct {
	id          []byte
	idEnd       int
	offset      int64
	tokens      int64
	choices     []byte
	usage       []byte
	engineError []byte
}

// scanChunk reads the fields of a chunk without decoding the rest.
func scanChunk(data []byte) (chunkFields, bool) {
	f := chunkFields{offset: -1, tokens: -1}
	s := scanner{data: data}
	if !s.consume('{') {
		return f, false
	}
	if s.consume('}') {
		return f, true
	}
	for {
		key, value, ok := s.member()
		if !ok || !f.set(key, value, s.pos) {
			return f, false
		}
		if s.consume('}') {
			return f, true
		}
		if !s.consume(',') {
			return f, false
		}
	}
}

func (f *chunkFields) set(key, value []byte, end int) bool {
	ok := true
	switch string(key) {
	case "id":
		f.id, ok = unquote(value)
		f.idEnd = end - 1
	case "offset":
		f.offset, ok = parseNumber(value)
	case "tokens":
		f.tokens, ok = parseNumber(value)
	case "choices":
		f.choices = value
	case "usage":
		f.usage = nilIfNull(value)
	case "error":
		f.engineError = nilIfNull(value)
	}
	return ok
}

// emptyChoices reports whether the chunk has no output.
func (f *chunkFields) emptyChoices() bool {
	if len(f.choices) < 2 || f.choices[0] != '[' {
		return true
	}
	return len(bytes.TrimSpace(f.choices[1:len(f.choices)-1])) == 0
}

var (
	emptyDeltaJSON   = []byte(`"delta":{}`)
	emptyContentJSON = []byte(`"content":""`)
	finishReasonKey  = []byte(`finish_reason":`)
)

// hasFinishReason reports whether the finish reason is a string, which marks
// the last chunk of the response.
func (f *chunkFields) hasFinishReason() bool {
	i := bytes.Index(f.choices, finishReasonKey)
	if i < 0 {
		return false
	}
	s := scanner{data: f.choices, pos: i + len(finishReasonKey)}
	return s.consume('"')
}

// hasNoContent reports whether the chunk only sets the role or ends the
// response.
func (f *chunkFields) hasNoContent() bool {
	return bytes.Contains(f.choices, emptyDeltaJSON) || bytes.Contains(f.choices, emptyContentJSON)
}

// scanner reads one JSON object member by member.
type scanner struct {
	data []byte
	pos  int
}

func (s *scanner) skipSpace() {
	for s.pos < len(s.data) {
		switch s.data[s.pos] {
		case ' ', '\t', '\r', '\n':
			s.pos++
		default:
			return
		}
	}
}

func (s *scanner) consume(c byte) bool {
	s.skipSpace()
	if s.pos >= len(s.data) || s.data[s.pos] != c {
		return false
	}
	s.pos++
	return true
}

// member reads one key with its value. The value includes its quotes or brackets.
func (s *scanner) member() (key, value []byte, ok bool) {
	s.skipSpace()
	start := s.pos
	if !s.skipString() {
		return nil, nil, false
	}
	key = s.data[start+1 : s.pos-1]
	if !s.consume(':') {
		return nil, nil, false
	}
	s.skipSpace()
	start = s.pos
	if !s.skipValue() {
		return nil, nil, false
	}
	return key, s.data[start:s.pos], true
}

func (s *scanner) skipValue() bool {
	if s.pos >= len(s.data) {
		return false
	}
	switch s.data[s.pos] {
	case '"':
		return s.skipString()
	case '{', '[':
		return s.skipNested()
	}
	start := s.pos
	for s.pos < len(s.data) && !isDelimiter(s.data[s.pos]) {
		s.pos++
	}
	return s.pos > start
}

func isDelimiter(c byte) bool {
	switch c {
	case ',', '}', ']', ' ', '\t', '\r', '\n':
		return true
	}
	return false
}

// skipString advances past a string's closing quote.
func (s *scanner) skipString() bool {
	if s.pos >= len(s.data) || s.data[s.pos] != '"' {
		return false
	}
	s.pos++
	for s.pos < len(s.data) {
		switch s.data[s.pos] {
		case '\\':
			s.pos += 2
		case '"':
			s.pos++
			return true
		default:
			s.pos++
		}
	}
	return false
}

func (s *scanner) skipNested() bool {
	depth := 0
	for s.pos < len(s.data) {
		switch s.data[s.pos] {
		case '"':
			if !s.skipString() {
				return false
			}
			continue
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		s.pos++
		if depth == 0 {
			return true
		}
	}
	return false
}

func unquote(value []byte) ([]byte, bool) {
	if len(value) < 2 || value[0] != '"' {
		return nil, false
	}
	return value[1 : len(value)-1], true
}

// maxDigits keeps a number within 63 bits.
const maxDigits = 18

func parseNumber(value []byte) (int64, bool) {
	if len(value) == 0 || len(value) > maxDigits {
		return 0, false
	}
	var n int64
	for _, c := range value {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + int64(c-'0')
	}
	return n, true
}

func nilIfNull(value []byte) []byte {
	if string(value) == "null" {
		return nil
	}
	return value
}
