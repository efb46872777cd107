package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"runtime/debug"
	"strconv"

	"k8s.io/klog/v2"

	"laburnumline/assembler"
	"laburnumline/configurer"
	"laburnumline/demonstrator"
)

type serveCommand struct {
	noopCommander
	Settings string `long:"settings" default:"laburnumline.ini" description:"settings file"`
}

// runsDaemon means that SIGHUP does not end the daemon. It reads its settings when it starts.
func (*serveCommand) runsDaemon() {}

func (cmd *serveCommand) run(e *environment) error {
	settings, err := configurer.Load(cmd.Settings)
	if err != nil {
		return usageError{err}
	}
	if err := setVerbosity(settings.Log.Level); err != nil {
		return err
	}
	defer klog.Flush()
	debug.SetMemoryLimit(int64(settings.Limits.Memory))
	daemon, err := assembler.New(assembler.Config{Settings: settings})
	if err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() { ended <- daemon.Run(context.Background()) }()
	select {
	case err := <-ended:
		return errors.Join(errors.New("the daemon ended; its log says why"), err)
	case <-e.ctx.Done():
	}
	ctx, cancel := context.WithTimeout(context.Background(), settings.Stop.Grace)
	defer cancel()
	return errors.Join(daemon.Stop(ctx), <-ended)
}

func setVerbosity(level int) error {
	set := flag.NewFlagSet("log", flag.ContinueOnError)
	klog.InitFlags(set)
	if err := set.Set("v", strconv.Itoa(level)); err != nil {
		return fmt.Errorf("set log level %d: %w", level, err)
	}
	return nil
}

type checkCommand struct {
	noopCommander
	Positional struct {
		File string `positional-arg-name:"FILE" description:"settings file"`
	} `positional-args:"yes" required:"yes"`
}

func (cmd *checkCommand) run(e *environment) error {
	if _, err := configurer.Load(cmd.Positional.File); err != nil {
		return usageError{err}
	}
	printLine(e.stdout, "%s is in order", cmd.Positional.File)
	return nil
}

type demoCommand struct {
	noopCommander
	Requests int  `long:"requests" default:"60" description:"engine calls in each part"`
	Verbose  bool `long:"verbose" description:"show the daemons' logs too"`
}

func (cmd *demoCommand) run(e *environment) error {
	if cmd.Requests < 1 || cmd.Requests > 1000 {
		return usageErrorf("--requests is %d, allowed: 1 to 1000", cmd.Requests)
	}
	if !cmd.Verbose {
		klog.LogToStderr(false)
		klog.SetOutput(discardWriter{})
	}
	report, err := demonstrator.Run(e.ctx, demonstrator.Config{Output: e.stdout, Requests: cmd.Requests})
	if err != nil {
		return err
	}
	if len(report.Violations) > 0 {
		return fmt.Errorf("%d promises were broken", len(report.Violations))
	}
	return nil
}

// discardWriter discards everything that is written to it.
type discardWriter struct{}

func (discardWriter) Write(text []byte) (int, error) { return len(text), nil }
