package pinner

import (
	"context"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"laburnumline/recorder"
)

const (
	// MaxMessageBytes is the maximum size of a datagram. It fits into one IP packet.
	MaxMessageBytes = 1400
	// maxCopied limits the records in one datagram.
	maxCopied = 20
	// maxSoftwareBytes limits the name of a version in a datagram.
	maxSoftwareBytes = 40
	// maxFirstPeers is the number of other daemons up to which all are asked at once.
	maxFirstPeers = 16
	// answerTimeout is how long answers are awaited. A round trip between zones takes about 10 ms,
	// and the process may not be scheduled at once.
	answerTimeout = 60 * time.Millisecond
)

// copied is a record in a datagram.
type copied struct {
	_        struct{} `cbor:",toarray"`
	Stream   Stream
	Software string
}

// message is a datagram between daemons: records, a question or an answer.
type message struct {
	_ struct{} `cbor:",toarray"`
	// Records are copies for the receiver to keep.
	Records []copied
	// Question is the number of a question, or zero. An answer repeats it with a minus sign.
	Question int64
	// Stream is the one that is asked for.
	Stream Stream
	// Known is true in an answer if the version is known, which is Software then.
	Known    bool
	Software string
}

// question waits for the answers of some daemons.
type question struct {
	awaited  map[netip.AddrPort]bool
	software chan string // receives the version, or is closed when no daemon knows it
}

// ask asks other daemons for the version of a stream and returns the first that one of them knows.
func (p *Pinner) ask(ctx context.Context, s Stream, peers []netip.AddrPort) (software string, ok bool) {
	if len(peers) == 0 {
		return "", false
	}
	q := &question{awaited: make(map[netip.AddrPort]bool, len(peers)), software: make(chan string, 1)}
	for _, peer := range peers {
		q.awaited[peer] = true
	}
	p.mu.Lock()
	p.lastQuestion++
	number := p.lastQuestion
	p.questions[number] = q
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.questions, number)
	}()
	for _, peer := range peers {
		p.send(peer, &message{Question: int64(number), Stream: s})
	}
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	select {
	case software, ok = <-q.software:
		return software, ok
	case <-timer.C:
	case <-ctx.Done():
	}
	p.config.Recorder.Count("pinner.unanswered", 1)
	return "", false
}

func (p *Pinner) send(to netip.AddrPort, m *message) {
	for i := range m.Records {
		if len(m.Records[i].Software) > maxSoftwareBytes {
			p.config.Recorder.Count("pinner.name_too_long", 1)
			return
		}
	}
	datagram, err := cbor.Marshal(m)
	if err != nil {
		p.config.Recorder.Event(recorder.StreamMessageFailed, "step", "encode", "err", err)
		return
	}
	p.config.Send(to, datagram)
}

// Receive handles a datagram of another daemon.
func (p *Pinner) Receive(from netip.AddrPort, datagram []byte) {
	var m message
	if err := cbor.Unmarshal(datagram, &m); err != nil {
		p.config.Recorder.Event(recorder.StreamMessageFailed, "step", "decode", "from", from, "err", err)
		return
	}
	for _, c := range m.Records {
		p.store(c.Stream, record{software: c.Software})
	}
	switch {
	case m.Question > 0:
		software, known := p.known(m.Stream)
		p.send(from, &message{Question: -m.Question, Stream: m.Stream, Known: known, Software: software})
	case m.Question < 0:
		p.receiveAnswer(from, &m)
	}
}

func (p *Pinner) receiveAnswer(from netip.AddrPort, m *message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.questions[uint64(-m.Question)]
	if q == nil || !q.awaited[from] {
		return // late, or a duplicate
	}
	delete(q.awaited, from)
	if m.Known {
		clear(q.awaited)
		q.software <- m.Software
		return
	}
	if len(q.awaited) == 0 {
		close(q.software)
	}
}
