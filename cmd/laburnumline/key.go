package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"time"

	"laburnumline/certifier"
	"laburnumline/contractor"
)

type keyHash struct {
	noopCommander
}

func (*keyHash) run(e *environment) error {
	line, err := bufio.NewReader(e.stdin).ReadString('\n')
	key := strings.TrimSpace(line)
	if key == "" {
		return usageErrorf("standard input has no key: %v", err)
	}
	printLine(e.stdout, "%s", contractor.HashKey(key))
	return nil
}

type keyAuthority struct {
	noopCommander
	Certificate string        `long:"certificate" default:"fleet-ca.crt" description:"file for the certificate"`
	Key         string        `long:"key" default:"fleet-ca.key" description:"file for the key; it does not belong on the daemons' VMs"`
	Lifetime    time.Duration `long:"lifetime" default:"87600h" description:"time for which the authority is valid"`
}

func (cmd *keyAuthority) run(e *environment) error {
	authority, err := certifier.NewAuthority("laburnumline fleet", cmd.Lifetime)
	if err != nil {
		return err
	}
	pair, err := authority.KeyPair()
	if err != nil {
		return err
	}
	if err := refuseExisting(cmd.Certificate, cmd.Key); err != nil {
		return err
	}
	if err := pair.Write(cmd.Certificate, cmd.Key); err != nil {
		return err
	}
	printLine(e.stdout, "wrote %s and %s", cmd.Certificate, cmd.Key)
	return nil
}

type keyIssue struct {
	noopCommander
	CACertificate string        `long:"ca-certificate" default:"fleet-ca.crt" description:"certificate of the authority"`
	CAKey         string        `long:"ca-key" default:"fleet-ca.key" description:"key of the authority"`
	VM            contractor.VM `long:"vm" description:"the only VM that the daemon may speak for; none means any"`
	Certificate   string        `long:"certificate" default:"daemon.crt" description:"file for the certificate"`
	Key           string        `long:"key" default:"daemon.key" description:"file for the key"`
	Lifetime      time.Duration `long:"lifetime" default:"2160h" description:"time for which the certificate is valid"`
}

func (cmd *keyIssue) run(e *environment) error {
	certificate, err := os.ReadFile(cmd.CACertificate)
	if err != nil {
		return usageErrorf("read authority: %w", err)
	}
	key, err := os.ReadFile(cmd.CAKey)
	if err != nil {
		return usageErrorf("read authority: %w", err)
	}
	authority, err := certifier.LoadAuthority(certifier.KeyPair{Certificate: certificate, Key: key})
	if err != nil {
		return usageErrorf("read authority: %w", err)
	}
	pair, err := authority.Issue(certifier.Request{VM: cmd.VM, Lifetime: cmd.Lifetime})
	if err != nil {
		return err
	}
	if err := refuseExisting(cmd.Certificate, cmd.Key); err != nil {
		return err
	}
	if err := pair.Write(cmd.Certificate, cmd.Key); err != nil {
		return err
	}
	printLine(e.stdout, "wrote %s and %s", cmd.Certificate, cmd.Key)
	return nil
}

// refuseExisting returns an error if one of the files exists, so that no key is
// overwritten.
func refuseExisting(paths ...string) error {
	for _, p := range paths {
		if _, err := os.Stat(p); err == nil {
			return usageError{fmt.Errorf("%s exists already", p)}
		}
	}
	return nil
}
