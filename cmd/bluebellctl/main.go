// Command bluebellctl reads and edits the settings of a bluebellchute fleet,
// watches a change reach all nodes, and drains backend servers.
package main

import (
	"os"

	"github.com/bluebellchute/bluebellchute/internal/ctl"
)

func main() {
	os.Exit(ctl.New().Run(os.Args[1:]))
}
