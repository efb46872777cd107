package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"laburnumline/administrator"
	"laburnumline/framer"
)

// clientOptions are the options of commands that call the administration API.
type clientOptions struct {
	Server  string        `long:"server" env:"LABURNUMLINE_SERVER" default:"http://127.0.0.1:8444" description:"base URL of the administration API of any daemon"`
	KeyFile string        `long:"key-file" env:"LABURNUMLINE_KEY_FILE" description:"file with the operator's bearer key"`
	CA      string        `long:"ca" env:"LABURNUMLINE_CA" description:"file with the authorities that sign the server's certificate"`
	Timeout time.Duration `long:"timeout" default:"30s" description:"longest time for the command"`
	Output  string        `long:"output" choice:"text" choice:"json" default:"text" description:"form of the result"`
}

// unreachableError means that the API sent no valid response.
type unreachableError struct{ err error }

func (u unreachableError) Error() string { return u.err.Error() }
func (u unreachableError) Unwrap() error { return u.err }

// connect returns a client of the administration API. It opens no connection yet.
func (o *clientOptions) connect() (*administrator.Client, error) {
	if o.KeyFile == "" {
		return nil, usageErrorf("--key-file or LABURNUMLINE_KEY_FILE must name the file with the operator's key")
	}
	key, err := os.ReadFile(o.KeyFile)
	if err != nil {
		return nil, usageErrorf("read operator's key: %w", err)
	}
	client := administrator.NewClient(strings.TrimSuffix(o.Server, "/"), strings.TrimSpace(string(key)))
	client.HTTP = framer.NewClient(o.Timeout)
	if o.CA == "" {
		return client, nil
	}
	pem, err := os.ReadFile(o.CA)
	if err != nil {
		return nil, usageErrorf("read authorities: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, usageErrorf("%s has no certificate in PEM", o.CA)
	}
	client.HTTP.Transport = framer.NewTransport(&http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}})
	return client, nil
}

// callAPI calls the API and prints the result, as JSON or with printText.
func callAPI[T any](e *environment, o *clientOptions, call func(ctx context.Context, c *administrator.Client) (T, error), printText func(w io.Writer, result T)) error {
	client, err := o.connect()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(e.ctx, o.Timeout)
	defer cancel()
	result, err := call(ctx, client)
	if err != nil {
		return markUnreachable(err)
	}
	if o.Output == "json" {
		encoder := json.NewEncoder(e.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(result)
	}
	printText(e.stdout, result)
	return nil
}

// markUnreachable wraps err in an unreachableError unless it is a problem that the API
// returned or a usage error.
func markUnreachable(err error) error {
	var problem *administrator.Problem
	var input usageError
	if errors.As(err, &problem) || errors.As(err, &input) {
		return err
	}
	return unreachableError{err}
}

// readJSON decodes a file, or standard input if path is "-". An unknown field is an error.
func readJSON(e *environment, path string, value any) error {
	source := e.stdin
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return usageErrorf("open input: %w", err)
		}
		defer file.Close()
		source = file
	}
	decoder := json.NewDecoder(source)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return usageErrorf("read %s: %w", path, err)
	}
	if decoder.More() {
		return usageErrorf("read %s: more than one JSON value", path)
	}
	return nil
}

// parseTime parses a date or a time of RFC 3339. An empty value gives the zero time.
func parseTime(name, value string) (time.Time, error) {
	if value == "" {
		return time.Time{}, nil
	}
	for _, layout := range []string{time.RFC3339, time.DateOnly} {
		if t, err := time.Parse(layout, value); err == nil {
			return t, nil
		}
	}
	return time.Time{}, usageErrorf("%s is %q, allowed: 2026-12-31 or 2026-12-31T15:04:05Z", name, value)
}

func printLine(w io.Writer, format string, args ...any) { fmt.Fprintf(w, format+"\n", args...) }
