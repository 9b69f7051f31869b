package batch_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/batch"
)

// TestValuesThatArriveTogetherShareABatch adds values while a batch is under way.
func TestValuesThatArriveTogetherShareABatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var batches [][]int
		q := &batch.Queue[int]{Interval: 10 * time.Millisecond, Send: func(values []int) {
			batches = append(batches, values)
			time.Sleep(3 * time.Millisecond)
		}}
		for i := range 10 {
			q.Add(i)
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, [][]int{{0}, {1, 2, 3, 4, 5, 6, 7, 8, 9}}, batches)
		q.Add(10) // the queue is idle, so the value is not delayed
		synctest.Wait()
		require.Len(t, batches, 3)
		time.Sleep(time.Second) // the goroutine of the queue ends
	})
}
