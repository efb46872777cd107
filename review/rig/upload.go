package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// uploadCallers send a body each, 23 a second, as many as one machine of the site gets in a burst.
	uploadCallers  = 40
	uploadInterval = time.Second / 23
	// A body of uploadChunks chunks is below maxBodyBytes and takes its caller three seconds.
	uploadChunks     = 100
	uploadChunkBytes = 40 << 10
	uploadPause      = 30 * time.Millisecond
)

// playUpload lets callers send long bodies in chunks, within the limits of the configuration, to one machine. It
// reports whether the machine's process exceeded its memory limit. Without the disturbance the bodies are short.
func playUpload(f *fleet, trouble bool) (broken bool, err error) {
	customer := account{name: "hule930", key: "n2ctnfzs989anu6wsjnb", prepaid: 74_893_800}
	f.store.PutAsOperator("op/config", configuration(7, customer))
	for i := range 6 {
		r := &runner{id: newRunnerID(), service: engineService, zone: zones[i%len(zones)], engine: true, work: 50 * time.Millisecond, gap: 15 * time.Millisecond}
		if err := f.addRunner(r); err != nil {
			return false, err
		}
	}
	address, err := f.serveStore(nil)
	if err != nil {
		return false, err
	}
	d, err := f.addDaemon(address)
	if err != nil {
		return false, err
	}
	if err := f.awaitReady(d); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	chunks := 1
	if trouble {
		chunks = uploadChunks
	}
	var callers sync.WaitGroup
	for range uploadCallers {
		time.Sleep(uploadInterval)
		callers.Go(func() {
			status, err := upload(d.address(frontendPort), draft(customer, 1460, 60), chunks)
			f.journal.printf("upload: status %d, error %v", status, err)
		})
	}
	callers.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	f.journal.printf("%d processes ended over their memory limit", d.outOfMemory)
	return d.outOfMemory > 0, nil
}

// upload sends a call whose body comes in chunks, and returns the status of the answer.
func upload(address string, one call, chunks int) (status int, err error) {
	connection, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer connection.Close()
	head, _, _ := strings.Cut(one.encode(), "\r\n\r\n")
	head = strings.Replace(head, fmt.Sprintf("Content-Length: %d", len(one.body)), "Transfer-Encoding: chunked", 1)
	if _, err := io.WriteString(connection, head+"\r\n\r\n"); err != nil {
		return 0, err
	}
	chunk := strings.Repeat("u", uploadChunkBytes)
	for range chunks {
		if _, err := fmt.Fprintf(connection, "%x\r\n%s\r\n", len(chunk), chunk); err != nil {
			return 0, err
		}
		time.Sleep(uploadPause)
	}
	if _, err := io.WriteString(connection, "0\r\n\r\n"); err != nil {
		return 0, err
	}
	_ = connection.SetReadDeadline(time.Now().Add(draftTimeout))
	var answer [len("HTTP/1.1 200")]byte
	if _, err := io.ReadFull(connection, answer[:]); err != nil {
		return 0, err
	}
	if _, err := fmt.Sscanf(string(answer[:]), "HTTP/1.1 %d", &status); err != nil {
		return 0, fmt.Errorf("read the answer: %w", err)
	}
	return status, nil
}
