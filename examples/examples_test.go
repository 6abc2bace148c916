package examples

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"cranberrypath.example/cranberrypath/internal/conf"
	"cranberrypath.example/cranberrypath/pkg/decl"
)

// Guards against example files that this version of the program rejects.
func TestSamplesAreAccepted(t *testing.T) {
	files, err := filepath.Glob("*/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("no samples found: %v", err)
	}
	for _, f := range files {
		t.Run(f, func(t *testing.T) {
			b, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			if strings.HasSuffix(f, "declaration.json") {
				_, err = decl.Parse(f, b)
			} else {
				_, err = conf.Parse(f, b)
			}
			if err != nil {
				t.Fatal(err)
			}
		})
	}
}
