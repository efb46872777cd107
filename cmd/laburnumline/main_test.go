package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

type result struct {
	code           int
	stdout, stderr string
}

func runCommand(t *testing.T, stdin string, args ...string) result {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code := run(&environment{ctx: t.Context(), stdin: strings.NewReader(stdin), stdout: &stdout, stderr: &stderr}, args)
	return result{code, stdout.String(), stderr.String()}
}

// Invalid input gives exitUsage, which promises that nothing was changed. The API must
// therefore not be called before all input has been checked.
func TestInvalidInputIsRefusedBeforeAnyCall(t *testing.T) {
	called := false
	api := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { called = true }))
	defer api.Close()
	key := filepath.Join(t.TempDir(), "key")
	require.NoError(t, os.WriteFile(key, []byte("operator\n"), 0o600))
	server := []string{"--server", api.URL, "--key-file", key}
	tests := []struct {
		name  string
		stdin string
		args  []string
		want  string
	}{
		{"no command", "", nil, "command"},
		{"unknown command", "", []string{"sreve"}, "sreve"},
		{"unknown option", "", []string{"status", "--colour"}, "colour"},
		{"too many arguments", "", []string{"version", "now"}, "now"},
		{"missing argument", "", []string{"contract", "show"}, "ACCOUNT"},
		{"contract without budgets", `{"account":"loft","keys":[]}`, append([]string{"contract", "create", "-"}, server...), "budgets"},
		{"unknown field", `{"acount":"loft"}`, append([]string{"contract", "create", "-"}, server...), "acount"},
		{"not JSON", `account = loft`, append([]string{"contract", "create", "-"}, server...), "invalid character"},
		{"two values", `{"account":"loft","budgets":[{"name":"b","models":["m"]}]} {}`, append([]string{"contract", "create", "-"}, server...), "more than one"},
		{"top-up of nothing", "", append([]string{"contract", "topup", "loft", "drafts", "0", "--id", "x"}, server...), "1 or more"},
		{"bad upstream", `{"name":"e","kind":"engine","url":"http://engine.example","zone":"a","models":["m"]}`, append([]string{"upstream", "join", "-"}, server...), "IP address"},
		{"bad date", "", append([]string{"contract", "show", "loft", "--bills", "--from", "yesterday"}, server...), "--from"},
		{"resolution without decision", "", append([]string{"claim", "resolve", "loft", "00"}, server...), "--not-run"},
		{"no operator key", "", []string{"status"}, "key-file"},
		{"settings file is missing", "", []string{"check", "absent.ini"}, "absent.ini"},
		{"empty bearer key", "\n", []string{"key", "hash"}, "no key"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Setenv("LABURNUMLINE_KEY_FILE", "")
			r := runCommand(t, test.stdin, test.args...)
			require.Equal(t, exitUsage, r.code, r.stderr)
			require.Contains(t, r.stderr, test.want)
			require.False(t, called)
		})
	}
}

// Scripts distinguish by the exit code whether a change was refused or its outcome is
// unknown, in which case it has to be repeated or looked up.
func TestExitCodeFollowsTheAPIResponse(t *testing.T) {
	tests := []struct {
		name   string
		status int
		body   string
		code   int
	}{
		{"accepted", http.StatusOK, `{"contract":{"account":"loft"},"revision":7}`, exitOK},
		{"conflict", http.StatusConflict, `{"title":"conflict","status":409,"outcome":"not_changed","contract":{"revision":9}}`, exitRefused},
		{"unknown outcome", http.StatusGatewayTimeout, `{"title":"unknown","status":504,"outcome":"unknown"}`, exitUnreachable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			api := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "application/problem+json")
				w.WriteHeader(test.status)
				_, _ = w.Write([]byte(test.body))
			}))
			defer api.Close()
			key := filepath.Join(t.TempDir(), "key")
			require.NoError(t, os.WriteFile(key, []byte("operator"), 0o600))
			r := runCommand(t, "", "contract", "retire", "loft", "--revision", "5", "--server", api.URL, "--key-file", key)
			require.Equal(t, test.code, r.code, r.stderr)
			if test.code == exitRefused {
				require.Contains(t, r.stderr, "now at revision 9")
			}
		})
	}
}

// Guards against a connection error that is reported as a refusal.
func TestUnreachableAPIExitCode(t *testing.T) {
	key := filepath.Join(t.TempDir(), "key")
	require.NoError(t, os.WriteFile(key, []byte("operator"), 0o600))
	r := runCommand(t, "", "status", "--server", "http://127.0.0.1:1", "--key-file", key)
	require.Equal(t, exitUnreachable, r.code, r.stderr)
}

// Guards against the loss of a fleet's authority key, without which no daemon gets a new
// certificate, when the command is run twice.
func TestExistingKeysAreNotOverwritten(t *testing.T) {
	directory := t.TempDir()
	certificate, key := filepath.Join(directory, "ca.crt"), filepath.Join(directory, "ca.key")
	args := []string{"key", "authority", "--certificate", certificate, "--key", key}
	require.Equal(t, exitOK, runCommand(t, "", args...).code)
	again := runCommand(t, "", args...)
	require.Equal(t, exitUsage, again.code)
	require.Contains(t, again.stderr, "exists already")
	issued := runCommand(t, "", "key", "issue", "--ca-certificate", certificate, "--ca-key", key, "--vm", "entry-1",
		"--certificate", filepath.Join(directory, "d.crt"), "--key", filepath.Join(directory, "d.key"))
	require.Equal(t, exitOK, issued.code, issued.stderr)
}

// Guards against commands that fail to print their help, the version or the hash of a key.
func TestHelpAndVersion(t *testing.T) {
	require.Contains(t, runCommand(t, "", "--help").stdout, "upstream")
	require.Contains(t, runCommand(t, "", "contract", "amend", "--help").stdout, "--revision")
	require.Contains(t, runCommand(t, "", "version").stdout, "laburnumline")
	require.Contains(t, runCommand(t, "secret\n", "key", "hash").stdout, "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b")
}
