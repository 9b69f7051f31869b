package footprint

import (
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFootprintOfThisProcess(t *testing.T) {
	before, err := Read(os.Getpid())
	require.NoError(t, err)
	require.Positive(t, before.PeakMemory)
	file, err := os.Open(os.DevNull)
	require.NoError(t, err)
	defer func() { _ = file.Close() }() // it is only read
	after, err := Read(os.Getpid())
	require.NoError(t, err)
	require.GreaterOrEqual(t, after.PeakMemory, before.PeakMemory)
	require.Greater(t, after.Descriptors, before.Descriptors)
}

func TestWatchReturnsTheLargestFootprint(t *testing.T) {
	stop := Watch(os.Getpid())
	before, err := Read(os.Getpid())
	require.NoError(t, err)
	for range 10 {
		file, err := os.Open(os.DevNull)
		require.NoError(t, err)
		defer func() { _ = file.Close() }() // it is only read
	}
	largest, err := stop()
	require.NoError(t, err)
	// The first reading may count two descriptors of the other one.
	require.GreaterOrEqual(t, largest.Descriptors, before.Descriptors+8)
	require.GreaterOrEqual(t, largest.PeakMemory, before.PeakMemory)
}

func TestEndedProcessHasNoFootprint(t *testing.T) {
	cmd := exec.Command("true")
	require.NoError(t, cmd.Start())
	require.Eventually(t, func() bool {
		_, err := Read(cmd.Process.Pid)
		return err != nil
	}, 10*time.Second, 10*time.Millisecond)
	require.NoError(t, cmd.Wait())
}
