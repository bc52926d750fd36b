package inifile

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

type commonSections struct {
	Node struct {
		VM      string        `key:"vm" required:"true" doc:"Name of the VM."`
		Zone    fleet.Zone    `key:"zone" default:"a"`
		Control fleet.Address `key:"control" required:"true"`
	} `section:"node" doc:"This process."`
}

type config struct {
	commonSections
	Limits struct {
		Wait    time.Duration   `key:"wait" default:"2s" min:"10ms" max:"1m" doc:"Longest wait." unit:"duration"`
		Rate    float64         `key:"rate" default:"1.5" min:"0"`
		Slots   int             `key:"slots" default:"8" min:"1" max:"64"`
		Strict  bool            `key:"strict" default:"true"`
		Format  string          `key:"format" default:"json" oneof:"json|text"`
		Peers   []fleet.Address `key:"peers"`
		Labels  []string        `key:"labels" default:"x, y"`
		Ignored string
	} `section:"limits"`
	Accounts []account `section:"account.*"`
}

type account struct {
	Name  string `name:"section"`
	Share int    `key:"share" default:"1" max:"10"`
}

func (c *config) Validate() []Problem {
	if c.Limits.Slots == 13 {
		return []Problem{{Section: "limits", Key: "slots", Message: "13 is not allowed in this zone"}}
	}
	return nil
}

// TestFiles runs testdata/files. Each case is a file with either the parsed
// values or all problems of the file.
func TestFiles(t *testing.T) {
	datadriven.RunTest(t, "testdata/files", func(t *testing.T, d *datadriven.TestData) string {
		var c config
		if err := Parse("f.ini", []byte(d.Input), &c); err != nil {
			return err.Error() + "\n"
		}
		return fmt.Sprintf("%+v\n", c)
	})
}

// Guards against a process that ends when it encodes a value, for instance its zone, into a message.
func TestTextThatIsNotUTF8IsAProblem(t *testing.T) {
	var c config
	if err := Parse("f.ini", []byte("[node]\nvm = n\nzone = a\xff\ncontrol = 10.0.0.1:1\n"), &c); err == nil {
		t.Errorf("the zone is %q", c.Node.Zone)
	}
}

// TestWriteThenParse checks that parsing a written file returns the same values.
func TestWriteThenParse(t *testing.T) {
	var first, second config
	text := "[node]\nvm=vm-1\ncontrol=[::1]:80\n[limits]\npeers=10.0.0.1:1,10.0.0.2:2\n[account.b]\n[account.a]\nshare=3\n"
	if err := Parse("first", []byte(text), &first); err != nil {
		t.Fatal(err)
	}
	var written bytes.Buffer
	if err := Write(&written, &first); err != nil {
		t.Fatal(err)
	}
	if err := Parse("second", written.Bytes(), &second); err != nil {
		t.Fatalf("%v in\n%s", err, &written)
	}
	if got, want := fmt.Sprintf("%+v", second), fmt.Sprintf("%+v", first); got != want {
		t.Errorf("read back %s, want %s", got, want)
	}
}

// TestWriteDefault checks that a written default file lacks only the required keys.
func TestWriteDefault(t *testing.T) {
	var written bytes.Buffer
	if err := WriteDefault(&written, &config{}); err != nil {
		t.Fatal(err)
	}
	const wantLine = "# Longest wait. Unit: duration. Minimum: 10ms. Maximum: 1m.\nwait = 2s\n"
	if !bytes.Contains(written.Bytes(), []byte(wantLine)) {
		t.Errorf("%q is missing in\n%s", wantLine, &written)
	}
	err := Parse("default", written.Bytes(), &config{})
	const want = "default: [node] vm: required\ndefault: [node] control: required"
	if err == nil || err.Error() != want {
		t.Errorf("error %v, want %s", err, want)
	}
}
