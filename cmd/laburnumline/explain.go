package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"laburnumline/framer"
	"laburnumline/launcher"
)

const (
	// explainTimeout limits the call to the daemon, which responds in milliseconds.
	explainTimeout = 5 * time.Second
	// maxExplainBytes limits its response. 320 upstreams are about 150 KB.
	maxExplainBytes = 8 << 20
)

type explainCommand struct {
	noopCommander
	Host   string `long:"host" required:"true" description:"host of the request"`
	Path   string `long:"path" required:"true" description:"path of the request"`
	Key    string `long:"key" env:"LABURNUMLINE_CALLER_KEY" default-mask:"-" description:"key of the caller; other users see it in the list of processes unless it is in the environment"`
	Parts  string `long:"parts" description:"prompt parts as ID:TOKENS,ID:TOKENS"`
	Tokens string `long:"tokens" description:"tokens of the prompt and maximum output as PROMPT,OUTPUT"`
	JSON   bool   `long:"json" description:"print JSON"`
	Args   struct {
		Address string `positional-arg-name:"ADDRESS" description:"metrics address of the daemon, HOST:PORT"`
	} `positional-args:"true" required:"true"`
}

func (cmd *explainCommand) run(e *environment) error {
	ctx, cancel := context.WithTimeout(e.ctx, explainTimeout)
	defer cancel()
	report, err := cmd.ask(ctx)
	if err != nil {
		return err
	}
	if cmd.JSON {
		encoder := json.NewEncoder(e.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	}
	printExplanation(e.stdout, report)
	return nil
}

func (cmd *explainCommand) ask(ctx context.Context) (*launcher.ExplainReport, error) {
	query := url.Values{"host": {cmd.Host}, "path": {cmd.Path}, "parts": {cmd.Parts}, "tokens": {cmd.Tokens}}
	u := url.URL{Scheme: "http", Host: cmd.Args.Address, Path: "/explain", RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, usageErrorf("address %q: %w", cmd.Args.Address, err)
	}
	if cmd.Key != "" {
		request.Header.Set("Authorization", "Bearer "+cmd.Key)
	}
	client := &http.Client{Transport: framer.NewTransport(&http.Transport{DisableKeepAlives: true})} // no proxy: it would see the key
	response, err := client.Do(request)
	if err != nil {
		return nil, unreachableError{fmt.Errorf("ask daemon: %w", err)}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxExplainBytes))
	if err != nil {
		return nil, unreachableError{fmt.Errorf("read explanation: %w", err)}
	}
	switch {
	case response.StatusCode == http.StatusBadRequest || response.StatusCode == http.StatusNotFound:
		return nil, usageErrorf("%s", strings.TrimSpace(string(body)))
	case response.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("daemon: status %d: %s", response.StatusCode, strings.TrimSpace(string(body)))
	}
	report := &launcher.ExplainReport{}
	if err := json.Unmarshal(body, report); err != nil {
		return nil, unreachableError{fmt.Errorf("read explanation: %w", err)}
	}
	return report, nil
}

func printExplanation(w io.Writer, r *launcher.ExplainReport) {
	printLine(w, "route %s, service %s, configuration %d", r.Route, r.Service, r.ConfigurationVersion)
	if r.Account != "" {
		printLine(w, "account %s", r.Account)
	}
	if s := r.Share; s != nil && s.Limited {
		printLine(w, "share: available %d of granted %d (spent %d, reserved %d, stage %d), account has %d of %d left; fits: %t, would wait: %t",
			s.Available, s.Granted, s.Spent, s.Reserved, s.Stage, s.Left, s.Prepaid, s.Fits, s.Waits)
	}
	printLine(w, "quarantine of the prompt parts: %s", r.Quarantine)
	if len(r.EvacuatedZones) > 0 {
		printLine(w, "evacuated zones: %s", strings.Join(r.EvacuatedZones, ", "))
	}
	if len(r.UncachedParts) > 0 {
		printLine(w, "prompt parts that no upstream is known to have cached: %v", r.UncachedParts)
	}
	if r.OtherDaemon {
		printLine(w, "this daemon reaches no upstream of the service; another daemon would be asked")
	}
	t := newTable(w, "UPSTREAM\tZONE\tSOFTWARE\tCOST MS\tFIRST BYTE MS\tCACHED\tPREFILL MS\tAHEAD MS\tREQUESTS\tLEARNED\tREPORTED\tCOMMITTED\tLEFT OUT")
	for i := range r.Candidates {
		c := &r.Candidates[i]
		cost := c.CostMs + c.PlainCost // one of them is zero
		fmt.Fprintf(t, "%s\t%s\t%s\t%.1f\t%.1f\t%d\t%.1f\t%.1f\t%.1f\t%.2f\t%.2f\t%d\t%s\n", c.Upstream, c.Zone, c.Software, cost, c.FirstByteMs,
			c.CachedTokens, c.PrefillMs, c.AheadMs, c.Requests, c.Learned, c.Reported, c.CommittedTokens, leftOut(c))
	}
	_ = t.Flush()
	switch {
	case r.Refusal != nil:
		printLine(w, "refused: %s, Retry-After %.0f ms: %s", r.Refusal.Reason, r.Refusal.RetryAfterMs, r.Refusal.Detail)
	case r.Chosen != "":
		printLine(w, "chosen: %s, first byte expected after %.1f ms", r.Chosen, r.FirstByteMs)
	}
	if r.RefusalProbability > 0 {
		printLine(w, "the account asks for more than its share of the service: refused with probability %.2f", r.RefusalProbability)
	}
}

// leftOut says why an upstream is left out, and for how long if that is known.
func leftOut(c *launcher.CandidateReport) string {
	text := c.Excluded
	if c.PauseMs > 0 {
		text += fmt.Sprintf(" %.0f ms", c.PauseMs)
	}
	if c.EjectedForMs > 0 {
		text += fmt.Sprintf(" %.0f ms", c.EjectedForMs)
	}
	if c.Limited {
		text += fmt.Sprintf(" (%.2f/s)", c.LimitPerSecond)
	}
	if c.Cold != "" {
		text += fmt.Sprintf(" (cold: %s)", c.Cold)
	}
	if c.Permission > 0 {
		text += fmt.Sprintf(" (permitted with probability %.3f)", c.Permission)
	}
	return strings.TrimSpace(text)
}
