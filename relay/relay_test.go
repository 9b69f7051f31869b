package relay_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/relay"
)

// fleet returns hosts and the number of workers in each of five zones: three strong
// hosts and 26 weak ones a zone.
func fleet() ([]relay.Host, map[string]int) {
	var hosts []relay.Host
	workers := map[string]int{}
	for z := range 5 {
		zone := fmt.Sprintf("zone-%d", z)
		workers[zone] = 220
		for i := range 29 {
			capacity := 77
			if i < 3 {
				capacity = 320
			}
			hosts = append(hosts, relay.Host{Name: fmt.Sprintf("%s-%d", zone, i), Zone: zone, Capacity: capacity})
		}
	}
	return hosts, workers
}

// TestPlanUsesFewStrongHosts checks that a plan takes the strongest hosts of each zone,
// and no more than the workers need.
func TestPlanUsesFewStrongHosts(t *testing.T) {
	plan := relay.New(fleet())
	require.Equal(t, 10, plan.Relays())
	served := map[string]int{}
	for i := range 220 {
		route := plan.Route(fmt.Sprintf("worker-%d", i), "zone-1")
		require.Len(t, route, 2)
		require.NotEqual(t, route[0], route[1])
		served[route[0]]++
	}
	require.Len(t, served, 2)
	for name, n := range served {
		require.Contains(t, []string{"zone-1-0", "zone-1-1"}, name)
		require.InDelta(t, 110, n, 35)
	}
}

// TestLostRelayMovesOnlyItsWorkers removes a relay. The workers of the others keep
// their routes.
func TestLostRelayMovesOnlyItsWorkers(t *testing.T) {
	hosts, workers := fleet()
	before, after := relay.New(hosts, workers), relay.New(hosts[1:], workers)
	for i := range 220 {
		worker := fmt.Sprintf("worker-%d", i)
		was, is := before.Route(worker, "zone-0")[0], after.Route(worker, "zone-0")[0]
		if was != "zone-0-0" && is != "zone-0-2" {
			require.Equal(t, was, is)
		}
	}
}

// TestZoneWithoutHostsUsesOtherZones checks that every worker has a route while any
// host is left.
func TestZoneWithoutHostsUsesOtherZones(t *testing.T) {
	hosts, workers := fleet()
	plan := relay.New(hosts[29:], workers)
	require.Len(t, plan.Route("worker-1", "zone-0"), 2)
	none := relay.New(nil, workers)
	require.Empty(t, none.Route("worker-1", "zone-0"))
	var zero relay.Plan
	require.Empty(t, zero.Route("worker-1", "zone-0"))
}
