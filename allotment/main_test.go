package allotment_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of package rapid, so that every run tests the same
// inputs, and keeps it from writing files of failed inputs.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
