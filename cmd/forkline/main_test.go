package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
)

// binDir is the directory of the compiled program, which all tests share.
var binDir string

func TestMain(m *testing.M) {
	var err error
	if binDir, err = os.MkdirTemp("", "forkline"); err != nil {
		panic(err)
	}
	code := m.Run()
	os.RemoveAll(binDir)
	os.Exit(code)
}

var buildOnce = sync.OnceValues(func() (string, error) {
	bin := filepath.Join(binDir, "forkline")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w\n%s", err, out)
	}
	return bin, nil
})

// build compiles the program with the command that the deployment uses and returns its path.
func build(t *testing.T) string {
	t.Helper()
	bin, err := buildOnce()
	if err != nil {
		t.Fatal("build:", err)
	}
	return bin
}

// startProgram runs the program with a configuration until the test ends. The scanner returns the lines of its log.
func startProgram(t *testing.T, getenv func(string) string) (*exec.Cmd, *bufio.Scanner) {
	t.Helper()
	cmd := exec.Command(build(t))
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+getenv("RELAY_CONFIG"))
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill() })
	return cmd, bufio.NewScanner(stderr)
}

// waitForLog reads the log up to a line that matches the pattern and returns the first submatch.
func waitForLog(t *testing.T, lines *bufio.Scanner, pattern string) string {
	t.Helper()
	for lines.Scan() {
		if m := regexp.MustCompile(pattern).FindStringSubmatch(lines.Text()); m != nil {
			return m[1]
		}
	}
	t.Fatalf("the log ended without %q", pattern)
	return ""
}

// The program must serve on the configured address and exit with status 0 on SIGTERM.
func TestProgram(t *testing.T) {
	cmd, lines := startProgram(t, writeConfig(t, strings.Replace(validConfig, "127.0.0.1:8443", "127.0.0.1:0", 1)))
	addr := waitForLog(t, lines, `serving.* listen=(\S+)`)
	for status := 0; status != http.StatusOK; { // ready once it uses the initial list, as discovery does not answer
		res, err := http.Get("http://" + addr + "/-/ready")
		if err != nil || res.StatusCode != http.StatusOK && res.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("readiness: response %v, error %v", res, err)
		}
		status = res.StatusCode
		res.Body.Close()
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for lines.Scan() { // to the end of the log
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit after SIGTERM: %v", err)
	}
}

// SIGHUP, which by default ends a program, must apply the discovery address in the file, also during a drain. An invalid
// file must be reported in one line and change nothing.
func TestHangupChangesDiscoveryAddress(t *testing.T) {
	getenv := writeConfig(t, strings.Replace(validConfig, "127.0.0.1:8443", "127.0.0.1:0", 1))
	cmd, lines := startProgram(t, getenv)
	waitForLog(t, lines, `(serving)`)
	for _, c := range []struct{ text, pattern string }{
		{"{", `(configuration kept)`},
		{validConfig[:len(validConfig)/2], `(configuration kept)`},
		{strings.NewReplacer("127.0.0.1:8500", "127.0.0.1:8503", `"sockets":`, `"sockets":1`).Replace(validConfig), `discovery moves.* addr=(127.0.0.1:8503)`},
		{strings.Replace(validConfig, "127.0.0.1:8500", "127.0.0.1:8501", 1), `discovery moves.* addr=(127.0.0.1:8501)`},
		{strings.Replace(validConfig, "127.0.0.1:8500", "127.0.0.1:8502", 1), `discovery moves.* addr=(127.0.0.1:8502)`},
	} {
		if err := os.WriteFile(getenv("RELAY_CONFIG"), []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		if strings.Contains(c.text, "8502") {
			cmd.Process.Signal(syscall.SIGTERM)
		}
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		waitForLog(t, lines, c.pattern)
	}
	for lines.Scan() {
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// An invalid configuration at the start must be reported in one line, with an exit status other than 0.
func TestProgramReportsInvalidConfiguration(t *testing.T) {
	getenv := writeConfig(t, strings.Replace(validConfig, "8c1f30d27a5be964", "often", 1))
	cmd := exec.Command(build(t))
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+getenv("RELAY_CONFIG"))
	out, err := cmd.CombinedOutput()
	if err == nil || strings.Count(string(out), "\n") != 1 || !strings.Contains(string(out), "seed") {
		t.Errorf("error %v, output %q; want a failure and one line that names seed", err, out)
	}
}
