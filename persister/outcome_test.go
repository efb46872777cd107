package persister

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a wrong outcome after a lost response: a transaction taken as
// applied would be lost, and one taken as not applied would be sent again.
func TestOutcomeFromProbedKey(t *testing.T) {
	compares := []Compare{{Key: "a", Revision: 3}}
	one := []Put{{Key: "a", Value: []byte("x")}}
	two := append(one[:1:1], Put{Key: "b"})
	tests := []struct {
		name  string
		txn   Txn
		entry Entry
		want  outcome
	}{
		{"marker absent", Txn{Marker: "a", Puts: one}, Entry{Key: "a"}, outcomeNotApplied},
		{"marker present", Txn{Marker: "a", Puts: one}, Entry{Key: "a", Revision: 9}, outcomeApplied},
		{"guarded, unchanged", Txn{Compares: compares, Puts: two}, Entry{Key: "a", Revision: 3, Value: []byte("x")}, outcomeNotApplied},
		{"guarded, own bytes", Txn{Compares: compares, Puts: two}, Entry{Key: "a", Revision: 4, Value: []byte("x")}, outcomeApplied},
		{"guarded, other bytes", Txn{Compares: compares, Puts: two}, Entry{Key: "a", Revision: 4, Value: []byte("y")}, outcomeUndecided},
		{"guarded, deleted", Txn{Compares: compares, Puts: one}, Entry{Key: "a"}, outcomeUndecided},
		{"blind, own bytes", Txn{Puts: one}, Entry{Key: "a", Revision: 4, Value: []byte("x")}, outcomeApplied},
		{"blind, absent", Txn{Puts: two}, Entry{Key: "a"}, outcomeNotApplied},
		{"blind pair, own bytes may be older", Txn{Puts: two}, Entry{Key: "a", Revision: 4, Value: []byte("x")}, outcomeUndecided},
		{"delete, gone", Txn{Compares: compares, Deletes: []string{"a"}}, Entry{Key: "a"}, outcomeApplied},
		{"delete, unchanged", Txn{Compares: compares, Deletes: []string{"a"}}, Entry{Key: "a", Revision: 3}, outcomeNotApplied},
		{"delete, written again", Txn{Compares: compares, Deletes: []string{"a"}}, Entry{Key: "a", Revision: 5}, outcomeUndecided},
		{"blind delete, present", Txn{Deletes: []string{"a"}}, Entry{Key: "a", Revision: 5}, outcomeNotApplied},
		{"compare only, unchanged", Txn{Compares: compares}, Entry{Key: "a", Revision: 3}, outcomeNotApplied},
	}
	for _, tt := range tests {
		require.Equal(t, tt.want, outcomeFrom(tt.txn, tt.entry), tt.name)
	}
}

// Guards against ranges that miss keys of a prefix or include others. Bytes of 0xff
// at the end of a prefix cannot be incremented.
func TestPrefixEnd(t *testing.T) {
	tests := []struct {
		prefix string
		want   []byte
	}{
		{"a/", []byte("a0")},
		{"a\xff", []byte("b")},
		{"\xff", []byte{0}},
		{"", []byte{0}},
	}
	for _, tt := range tests {
		require.Equal(t, tt.want, prefixEnd(tt.prefix), tt.prefix)
	}
}
