package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"geraniumbeam/internal/standin/hosted"
)

const (
	silentInstances = 7
	silentRounds    = 4
	silentBefore    = 1300 * time.Millisecond // from the start of the silence to SIGTERM
	silentExit      = 8 * time.Second
)

// playSilentStop stops instances with SIGTERM while the store does not answer. Each must
// end with exit code 0.
func playSilentStop(rec *record, trouble bool) ([]string, error) {
	d, err := startDeployment(rec, deploymentConfig{instances: silentInstances, maxConnections: 30})
	defer d.close()
	if err != nil {
		return nil, err
	}
	var breaches []string
	for round := range silentRounds {
		if round > 0 {
			for _, i := range d.instances {
				if err := d.launch(i); err != nil {
					return nil, err
				}
			}
			for _, i := range d.instances {
				if err := awaitServing(i.callers); err != nil {
					return nil, err
				}
			}
		}
		if trouble {
			rec.add("platform", "the store does not answer")
			d.store.SetFault("store", hosted.NoAnswer)
		}
		time.Sleep(silentBefore)
		for _, i := range d.instances {
			rec.add("platform", "SIGTERM to %s", i.name)
			if err := i.signal(syscall.SIGTERM); err != nil {
				return nil, err
			}
		}
		for _, i := range d.instances {
			select {
			case <-i.exited:
			case <-time.After(silentExit):
				return nil, fmt.Errorf("%s did not exit", i.name)
			}
			code := i.cmd.ProcessState.ExitCode()
			rec.add("platform", "%s has ended with exit code %d", i.name, code)
			if code != 0 {
				breaches = append(breaches, fmt.Sprintf("%s ended with exit code %d: %s", i.name, code, panicOf(filepath.Join(d.dir, i.name+".log"))))
			}
		}
		d.store.SetFault("store", hosted.Healthy)
	}
	return breaches, nil
}

// panicOf returns the first lines of the last panic in a log.
func panicOf(path string) string {
	f, err := os.Open(path)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = f.Close() }()
	var lines []string
	for s := bufio.NewScanner(f); s.Scan(); {
		line := s.Text()
		if strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
			lines = nil
		}
		if !strings.HasPrefix(line, "{") && len(lines) < 14 {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return strings.Join(lines, " | ")
}
