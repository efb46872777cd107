package persister

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a wrong outcome after a lost response: a transaction that is wrongly
// taken as applied is lost, and one that is wrongly taken as not applied is sent again.
func TestOutcomeFromProbeKey(t *testing.T) {
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
		{"compared, unchanged", Txn{Compares: compares, Puts: two}, Entry{Key: "a", Revision: 3, Value: []byte("x")}, outcomeNotApplied},
		{"compared, same value", Txn{Compares: compares, Puts: two}, Entry{Key: "a", Revision: 4, Value: []byte("x")}, outcomeApplied},
		{"compared, other value", Txn{Compares: compares, Puts: two}, Entry{Key: "a", Revision: 4, Value: []byte("y")}, outcomeUndecided},
		{"compared, deleted", Txn{Compares: compares, Puts: one}, Entry{Key: "a"}, outcomeUndecided},
		{"no compare, same value", Txn{Puts: one}, Entry{Key: "a", Revision: 4, Value: []byte("x")}, outcomeApplied},
		{"no compare, absent", Txn{Puts: two}, Entry{Key: "a"}, outcomeNotApplied},
		{"two puts without compare, same value may be older", Txn{Puts: two}, Entry{Key: "a", Revision: 4, Value: []byte("x")}, outcomeUndecided},
		{"compared delete, absent", Txn{Compares: compares, Deletes: []string{"a"}}, Entry{Key: "a"}, outcomeApplied},
		{"compared delete, unchanged", Txn{Compares: compares, Deletes: []string{"a"}}, Entry{Key: "a", Revision: 3}, outcomeNotApplied},
		{"compared delete, written again", Txn{Compares: compares, Deletes: []string{"a"}}, Entry{Key: "a", Revision: 5}, outcomeUndecided},
		{"delete without compare, present", Txn{Deletes: []string{"a"}}, Entry{Key: "a", Revision: 5}, outcomeNotApplied},
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
