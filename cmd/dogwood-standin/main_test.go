package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"dogwoodknot.example/dogwoodknot/internal/standin"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"dogwood-standin": main})
}

// Guards against flags, environment variables and subcommands that do not reach the stand-ins.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		RequireExplicitExec: true,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"waitfile": waitFile,
			"http":     callHTTP,
		},
	})
}

const scriptTimeout = 20 * time.Second

// waitFile waits until a file exists.
func waitFile(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: waitfile file")
	}
	path := ts.MkAbs(args[0])
	for deadline := time.Now().Add(scriptTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if _, err := os.Stat(path); err == nil {
			return
		}
	}
	ts.Fatalf("file %s does not appear", args[0])
}

// callHTTP calls a stand-in by its name in the ready file: http file name method path status [body]. The answer is
// printed to stdout. Negated, it expects that no answer comes.
func callHTTP(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 5 {
		ts.Fatalf("usage: http ready-file name method path status [body]")
	}
	var body io.Reader = http.NoBody
	if len(args) > 5 {
		body = strings.NewReader(args[5])
	}
	req, err := http.NewRequest(args[2], "http://"+addressOf(ts, args[0], args[1])+args[3], body)
	ts.Check(err)
	client := http.Client{Timeout: scriptTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if neg {
		if err == nil {
			ts.Fatalf("%s answered with status %s", args[1], resp.Status)
		}
		return
	}
	ts.Check(err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	ts.Check(err)
	_, _ = ts.Stdout().Write(data)
	if !strings.HasPrefix(resp.Status, args[4]+" ") {
		ts.Fatalf("%s %s: status %s, want %s: %s", args[2], args[3], resp.Status, args[4], data)
	}
}

func addressOf(ts *testscript.TestScript, file, name string) string {
	lines := bufio.NewScanner(bytes.NewReader([]byte(ts.ReadFile(file))))
	for lines.Scan() {
		var a standin.Address
		ts.Check(json.Unmarshal(lines.Bytes(), &a))
		if a.Name == name {
			return a.Addr
		}
	}
	ts.Fatalf("%s names no %s", file, name)
	return ""
}
