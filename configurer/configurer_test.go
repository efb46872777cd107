package configurer

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/certifier"
	"laburnumline/contractor"
)

const exampleFile = "../laburnumline.example.ini"

// example returns the text of the example file with the paths of existing certificate and
// key files.
func example(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(exampleFile)
	require.NoError(t, err)
	dir := t.TempDir()
	authority, err := certifier.NewAuthority("fleet", time.Hour)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(filepath.Join(dir, "fleet-ca.crt"), authority.Certificate(), 0o600))
	for _, name := range []string{"callers", "daemon"} {
		pair, err := authority.Issue(certifier.Request{Lifetime: time.Hour})
		require.NoError(t, err)
		require.NoError(t, pair.Write(filepath.Join(dir, name+".crt"), filepath.Join(dir, name+".key")))
	}
	return strings.ReplaceAll(string(text), "/etc/laburnumline", dir)
}

func load(t *testing.T, text string) (*Settings, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.ini")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	s, err := Load(path)
	var problems Problems
	if errors.As(err, &problems) {
		for i := range problems {
			problems[i].File = "f"
		}
		return s, problems
	}
	return s, err
}

// Guards against an example file that the daemon does not accept.
func TestExampleLoads(t *testing.T) {
	s, err := load(t, example(t))
	require.NoError(t, err)
	require.Equal(t, contractor.VM("entry-1"), s.Daemon.VM)
	require.Equal(t, 4*MB, s.Limits.Body)
	require.Equal(t, 2*time.Hour, s.Budgets.Term)
	require.Len(t, s.Store.Endpoints, 2)
	require.Equal(t, "http://10.0.0.3:2379", s.Store.Endpoints[1].String())
	require.Equal(t, Editor, s.Operators.Operators[0].Role)
	self := s.Self(time.UnixMicro(77))
	require.Equal(t, "entry-1#77 at 10.0.0.11:7443", self.String())
}

// Guards against an example file that lacks a setting or states a wrong default. The test
// uncomments all settings and expects the same result as with the defaults.
func TestExampleStatesEveryDefault(t *testing.T) {
	text := example(t)
	defaults, err := load(t, text)
	require.NoError(t, err)
	commentedSetting := regexp.MustCompile(`(?m)^;(\w+ = )`)
	full := commentedSetting.ReplaceAllString(text, "$1")
	for _, section := range sectionNames() {
		require.Contains(t, full, "\n["+section+"]\n")
		for _, key := range keyNames(sectionType(section)) {
			require.Regexp(t, `(?m)^`+key+` = `, full, section)
		}
	}
	settingsWithoutDefault := regexp.MustCompile(`(?m)^(ca|operators_certificate|operators_key|advertise) = .*$`)
	uncommented, err := load(t, settingsWithoutDefault.ReplaceAllString(full, ""))
	require.NoError(t, err)
	require.True(t, reflect.DeepEqual(defaults, uncommented))
}

// Guards against invalid settings that are accepted, or reported without their file, line,
// value or allowed values.
func TestInvalidSettingsAreReported(t *testing.T) {
	tests := []struct {
		old, new string
		problem  string
	}{
		{"vm = entry-1", "vm = Entry 1", `f:7: [daemon] vm = "Entry 1": allowed: 1 to 64 characters of a-z, 0-9, '-', '.' and '_'`},
		{"vm = entry-1", "vmm = entry-1", `[daemon] vmm = "entry-1": unknown key, allowed: vm, zone, region, incarnation`},
		{"zone = gulf-south-a", "", `f: [daemon] zone = "": allowed: 1 to 64`},
		{"[daemon]", "[deamon]", `f:5: [deamon] unknown section "deamon", allowed: daemon, listen,`},
		{"[daemon]", "x = 1\n[daemon]", `f:5: x = "1": outside of a section`},
		{"[daemon]", "[daemon]\nfoo", `f:6: [daemon] malformed key=value (foo)`},
		{";flush = 1s", "flush = 5", `[budgets] flush = "5": time: missing unit in duration "5", allowed: a duration with a unit`},
		{";flush = 1s", "flush = 1x", `unknown unit "x"`},
		{";flush = 1s", "flush = 5h", `[budgets] flush = "5h0m0s": allowed: 10ms to 1m0s`},
		{";flush = 1s", "flush = 1s\nflush = 2s", `[budgets] flush = "2s": already given in line`},
		{";drift = 0.001", "drift = 50%", `[budgets] drift = "50%"`},
		{";lost_reservation = charge", "lost_reservation = keep", `[budgets] lost_reservation = "keep": allowed: charge or release`},
		{";body = 4MB", "body = 4", `[limits] body = "4": allowed: a whole number with a unit: B, KB, MB`},
		{";body = 4MB", "body = 4mb", `[limits] body = "4mb"`},
		{";queue = 2000", "queue = many", `[limits] queue = "many"`},
		{";queue = 2000", "queue = 0", `[limits] queue = "0": allowed: 1 to 1000000`},
		{";max_output = 1024", "max_output = 1k", `allowed: a whole number`},
		{";policy = refuse", "policy = maybe", `[stale] policy = "maybe": allowed: refuse or serve`},
		{";incarnation = auto", "incarnation = -1", `[daemon] incarnation = "-1": allowed: auto`},
		{"callers = 0.0.0.0:8443", "callers = localhost:8443", `[listen] callers = "localhost:8443": allowed: an IP address and a port`},
		{"callers = 0.0.0.0:8443", "callers = 127.0.0.1:8444", `is also the address for callers`},
		{"daemons = 10.0.0.11:7443", "daemons = 0.0.0.0:7443", `[listen] daemons = "0.0.0.0:7443": is every address of the VM, so advertise is required`},
		{"operators = 127.0.0.1:8444", "operators = 10.0.0.11:8444", `[tls] operators_certificate = "": is required, as listen.operators (10.0.0.11:8444)`},
		{"endpoint = http://10.0.0.3:2379", "endpoint = 10.0.0.3", `[store] endpoint = "10.0.0.3": allowed: an http or https URL`},
		{"url = http://10.0.0.4:8080/vms", "", `f: [vmlist] url = "": is required`},
		{";term = 2h", "term = 5m", `[budgets] term = "5m0s": allowed: more than budgets.longest_request (15m0s)`},
		{";longest_deadline = 10m", "longest_deadline = 30m", `[budgets] longest_request = "15m0s": allowed: not less than requests.longest_deadline (30m0s)`},
		{";grace = 10m", "grace = 1m", `[stop] grace = "1m0s": allowed: not less than requests.longest_deadline (10m0s)`},
		{";memory = 1GB", "memory = 100MB", `[limits] memory = "100MB": allowed: more than limits.queue_bytes (128MB)`},
		{"jo viewer", "alba viewer", `[operators] operator = "alba": the name is given twice`},
		{"jo viewer", "jo owner", `allowed: NAME ROLE HASH`},
		{"fleet-ca.crt", "none.crt", `none.crt: no such file or directory`},
		{"fleet-ca.crt", "daemon.key", `has no certificate in PEM`},
		{"callers.key", "daemon.key", `does not fit`},
		{"callers_key = ", ";callers_key = ", `[tls] callers_key = "": is required together with callers_certificate`},
	}
	text := example(t)
	for _, tt := range tests {
		t.Run(tt.new, func(t *testing.T) {
			require.Contains(t, text, tt.old)
			_, err := load(t, strings.Replace(text, tt.old, tt.new, 1))
			require.ErrorAs(t, err, &Problems{})
			require.Contains(t, err.Error(), tt.problem)
		})
	}
}

// Guards against a check that stops at the first problem of a file, or reports the wrong
// lines.
func TestAllProblemsAreReportedAtOnce(t *testing.T) {
	_, err := load(t, "[daemon]\nvm = a\nage = 3\n[listen]\ncallers = x\n[none]\na = 1\n[budgets]\nflush = 5\n")
	var problems Problems
	require.ErrorAs(t, err, &problems)
	lines := make([]int, 0, len(problems))
	for _, p := range problems[:4] {
		lines = append(lines, p.Line)
	}
	require.Equal(t, []int{3, 5, 6, 9}, lines)
	require.Zero(t, problems[4].Line)

	_, err = Load(filepath.Join(t.TempDir(), "none.ini"))
	require.ErrorContains(t, err, "read settings")
}

func ExampleProblem() {
	fmt.Println(Problem{File: "laburnumline.ini", Line: 12, Section: "budgets", Key: "flush", Value: "5", Message: "allowed: a duration"})
	// Output: laburnumline.ini:12: [budgets] flush = "5": allowed: a duration
}
