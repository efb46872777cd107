// Package lender moves parts of prepaid balances between daemons without the store.
//
// Each daemon may spend its own share of a balance (package apportioner). A share that
// is used up is refilled from the store, but every refill is a transaction that excludes
// those of all other daemons, and in a large fleet shares are smaller than one long
// prompt. So a daemon that lacks tokens for a request asks another one, which counts what
// it lends as spent. The sum of what all daemons may spend stays the same, whatever is
// lost on the way:
//
//   - the lender counts the tokens as spent before it answers;
//   - the borrower takes each answer to a question of its own once, also a late one;
//   - an answer that never arrives is lost to the account, like the open part of a
//     daemon that is killed. Therefore a question is repeated, and the lender answers a
//     question that it knows as before.
//
// Questions and answers are single datagrams. While nobody answers, as in a cut, requests
// do not wait for it.
//
//	l := lender.New(lender.Config{Conn: conn, Book: shares, Peers: peers})
//	go l.Run(ctx)
//	l.Borrow(ctx, "loft-7", 17_000) // credits the Book
package lender

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"laburnumline/contractor"
	"laburnumline/recorder"
	"laburnumline/sleeper"
)

const (
	// answerTime is how long a request waits for one lender: a round trip between zones
	// is about 10 ms, and the lender may need a round with the store of about 20 ms.
	answerTime = 60 * time.Millisecond
	// maxLenders is how many daemons a request asks, one after another.
	maxLenders = 4
	// quietTime is how long nobody is asked after nobody has answered.
	quietTime = 500 * time.Millisecond
	// repeats is how often a question is sent again, after answerTime at first and twice
	// as long each time: in all for 3.8 s, which outlasts bursts of lost packets.
	repeats = 5
	// memory is how long a lender knows its answers: longer than questions are repeated.
	memory = 10 * time.Second
	// maxAnswers bounds the answers that are remembered, some 100 bytes each. A daemon
	// lends a few times a second.
	maxAnswers = 8192
	// maxLending bounds the questions that wait for a round of the lender.
	maxLending = 64
	// maxMessage is the largest datagram in bytes: names of accounts are short.
	maxMessage = 512
)

// Book is the daemon's own share of the balances.
type Book interface {
	// GrantTransfer counts some of the tokens as spent, all at best, and returns how many.
	GrantTransfer(ctx context.Context, account contractor.Account, tokens contractor.Tokens) contractor.Tokens
	// CreditTransfer adds tokens that another daemon has counted as spent.
	CreditTransfer(account contractor.Account, tokens contractor.Tokens)
}

// Conn sends and receives datagrams. *net.UDPConn is one.
type Conn interface {
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	Close() error
}

// Config holds what a Lender needs.
type Config struct {
	Conn Conn
	Book Book
	// Peers returns the daemons to ask for tokens of an account, the likeliest first.
	Peers    func(account contractor.Account) []netip.AddrPort
	Recorder *recorder.Recorder
}

// Lender asks and answers. It is safe for concurrent use.
type Lender struct {
	config  Config
	lending chan struct{} // one element per question that is being answered
	ctx     context.Context
	stop    context.CancelFunc

	mu sync.Mutex
	// asked are the own questions that have no answer yet.
	asked map[uint64]*question
	// answers are those given, by the question's id.
	answers map[uint64]answer
	// quietUntil is when somebody is asked again after nobody has answered.
	quietUntil time.Time
}

// question is one that this daemon has asked.
type question struct {
	answered chan contractor.Tokens // has room for the one answer
}

// answer is what this daemon has answered, or nothing yet while pending.
type answer struct {
	tokens  contractor.Tokens
	pending bool
	at      time.Time
}

// message is a question, or the answer to one.
type message struct {
	_        struct{} `cbor:",toarray"`
	Answered bool
	ID       uint64 // of the question
	Account  contractor.Account
	Tokens   contractor.Tokens // asked for, or lent
}

// Listen opens the socket of a Lender.
func Listen(address netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("listen for loans on %s: %w", address, err)
	}
	return conn, nil
}

// New returns a lender. It answers while Run runs.
func New(c Config) *Lender {
	l := &Lender{
		config: c, lending: make(chan struct{}, maxLending),
		asked: make(map[uint64]*question), answers: make(map[uint64]answer),
	}
	l.ctx, l.stop = context.WithCancel(context.Background())
	return l
}

// Borrow asks other daemons for tokens until they have lent them all together, and
// credits them to the book. It returns what was lent within the time that a request can wait; a later answer
// is credited too.
func (l *Lender) Borrow(ctx context.Context, account contractor.Account, tokens contractor.Tokens) contractor.Tokens {
	if l.quiet() {
		return 0
	}
	heard, got := false, contractor.Tokens(0)
	peers := l.config.Peers(account)
	for _, peer := range peers[:min(len(peers), maxLenders)] {
		lent, answered := l.borrowFrom(ctx, peer, account, tokens-got)
		got += lent
		if got >= tokens || ctx.Err() != nil {
			return got
		}
		heard = heard || answered
	}
	if !heard && len(peers) > 0 {
		l.noteSilence()
	}
	return got
}

// borrowFrom asks one daemon and waits for its answer for a while.
func (l *Lender) borrowFrom(ctx context.Context, peer netip.AddrPort, account contractor.Account, tokens contractor.Tokens) (lent contractor.Tokens, answered bool) {
	q := &question{answered: make(chan contractor.Tokens, 1)}
	id := rand.Uint64()
	l.note(id, q)
	go l.ask(id, peer, account, tokens)
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	select {
	case lent = <-q.answered:
	case <-ctx.Done():
		return 0, false
	}
	if lent > 0 {
		l.config.Recorder.Event(recorder.LoanTaken, "account", account, "tokens", lent, "peer", peer)
	}
	return lent, true
}

func (l *Lender) quiet() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Before(l.quietUntil)
}

func (l *Lender) noteSilence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.quietUntil = time.Now().Add(quietTime)
	l.config.Recorder.Count("lender.unanswered", 1)
}

func (l *Lender) note(id uint64, q *question) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked[id] = q
}

// ask sends a question until it is answered, also after the request has stopped waiting:
// the lender may have counted the tokens as spent.
func (l *Lender) ask(id uint64, peer netip.AddrPort, account contractor.Account, tokens contractor.Tokens) {
	wait := answerTime
	for range 1 + repeats {
		l.send(peer, message{ID: id, Account: account, Tokens: tokens})
		if sleeper.Sleep(l.ctx, wait) != nil || !l.isOpen(id) {
			return
		}
		wait *= 2
	}
	l.mu.Lock()
	delete(l.asked, id)
	l.mu.Unlock()
	l.config.Recorder.Event(recorder.LoanUnanswered, "account", account, "tokens", tokens, "peer", peer)
}

func (l *Lender) isOpen(id uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, open := l.asked[id]
	return open
}

// Run answers other daemons and takes their answers until ctx ends, and closes the Conn.
func (l *Lender) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() {
		l.stop()
		// The read below fails, which is all that matters.
		_ = l.config.Conn.Close()
	})
	defer stop()
	buffer := make([]byte, maxMessage)
	for {
		n, from, err := l.config.Conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				l.config.Recorder.Event(recorder.LoanFailed, "step", "receive", "err", err)
			}
			return
		}
		var m message
		if err := cbor.Unmarshal(buffer[:n], &m); err != nil {
			l.config.Recorder.Event(recorder.LoanFailed, "step", "decode", "peer", from, "err", err)
			continue
		}
		l.hear(ctx, from, m)
	}
}

func (l *Lender) hear(ctx context.Context, from netip.AddrPort, m message) {
	if m.Answered {
		l.take(m)
		return
	}
	if !l.repeat(from, m) {
		return
	}
	select {
	case l.lending <- struct{}{}:
	default:
		l.answer(from, m, 0)
		return
	}
	go func() {
		defer func() { <-l.lending }()
		l.answer(from, m, l.config.Book.GrantTransfer(ctx, m.Account, m.Tokens))
	}()
}

// take credits the first answer to a question.
func (l *Lender) take(m message) {
	l.mu.Lock()
	q := l.asked[m.ID]
	delete(l.asked, m.ID)
	l.quietUntil = time.Time{}
	l.mu.Unlock()
	if q == nil {
		return
	}
	if m.Tokens > 0 {
		l.config.Book.CreditTransfer(m.Account, m.Tokens)
	}
	q.answered <- m.Tokens
}

// repeat notes a question, or answers it as before. It reports whether it is a new one.
func (l *Lender) repeat(from netip.AddrPort, m message) bool {
	l.mu.Lock()
	given, known := l.answers[m.ID]
	if !known {
		l.forget(time.Now())
		l.answers[m.ID] = answer{pending: true, at: time.Now()}
	}
	l.mu.Unlock()
	if known && !given.pending {
		l.reply(from, m, given.tokens)
	}
	return !known
}

// forget drops old answers when there are many. The lock is held.
func (l *Lender) forget(now time.Time) {
	if len(l.answers) < maxAnswers {
		return
	}
	for id, a := range l.answers {
		if now.Sub(a.at) > memory {
			delete(l.answers, id)
		}
	}
	if len(l.answers) >= maxAnswers {
		clear(l.answers)
	}
}

// answer keeps the answer to a question and sends it.
func (l *Lender) answer(to netip.AddrPort, m message, tokens contractor.Tokens) {
	l.mu.Lock()
	l.answers[m.ID] = answer{tokens: tokens, at: time.Now()}
	l.mu.Unlock()
	l.reply(to, m, tokens)
}

func (l *Lender) reply(to netip.AddrPort, m message, tokens contractor.Tokens) {
	m.Answered, m.Tokens = true, tokens
	l.send(to, m)
}

func (l *Lender) send(to netip.AddrPort, m message) {
	text, err := cbor.Marshal(m)
	if err == nil {
		_, err = l.config.Conn.WriteToUDPAddrPort(text, to)
	}
	if err != nil {
		l.config.Recorder.Event(recorder.LoanFailed, "step", "send", "peer", to, "err", err)
	}
}
