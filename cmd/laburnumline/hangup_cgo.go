//go:build cgo

package main

/*
#include <signal.h>

// Runs before the Go runtime starts. The default action of SIGHUP ends a process until main handles the signal.
__attribute__((constructor)) static void ignore_hangup(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"
