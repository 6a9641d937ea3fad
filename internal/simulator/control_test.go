package simulator

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func init() { guardCases = append(guardCases, controlGuardCases...) }

// controlGuardCases disable guards of the core's register and voter sets, on drawn deployments.
var controlGuardCases = []guardCase{
	{"control: read by a majority", "control-parted", "operators' history is not linearizable: a stale read", []edit{
		{"internal/controller/admin.go", "\t// A majority read that begins now shows whether the known value is the newest.\n",
			"\tif v := c.register.known; v != nil {\n\t\tc.receipt(Receipt{Token: a.Token, Epoch: v.Epoch, Plan: v.Plan})\n\t\treturn\n\t}\n"}}},
	{"control: answer a repeat as before", "control-race", "operators' history is not linearizable: change", []edit{
		{"internal/controller/changes.go", "if x.ID == a.Change {\n\t\t\t\treturn d, failure.Repeated", "if x.ID == `no` {\n\t\t\t\treturn d, failure.Repeated"}, {"internal/controller/changes.go", "&& c.hasChosen(a.Change) {", "&& false {"}}},
	{"control: expect the epoch", "control-race", "operators' history is not linearizable: a change based on version", []edit{
		{"internal/controller/changes.go", "if !a.Any && d.Epoch != a.Expect {", "if false {"}}},
	{"control: leave a joint set", "control-five", "still in a joint state", []edit{
		{"internal/controller/voters.go", "if c.leadership.shape == k.VoterSet {", "if false {"}}},
	{"control: replace who is gone", "control-five", "is no full voter", []edit{
		{"internal/controller/voters.go", "c.now.Sub(since) <= c.o.ReplaceAfter", "c.now.Sub(since) <= 20*c.o.ReplaceAfter"}}},
	{"control: sweep what reads do not mend", "control-away", "is no full replica", []edit{
		{"internal/controller/reader.go", "if c.now.Sub(r.staleSince) > c.answerWait() {", "if false {"}}},
}

// mayLose counts a seat as lost until its lostUntil, and permits no more concurrent losses than the deployment
// tolerates.
func TestMayLose(t *testing.T) {
	f := &coreFleet{Deployment: &Deployment{Nodes: 3, Losses: 1}}
	for range f.Nodes {
		f.seats = append(f.seats, &seat{zone: "za"})
	}
	first, second := f.seats[0], f.seats[1]
	require.True(t, f.mayLose(first, 10))
	first.lostUntil = noEnd
	require.True(t, f.mayLose(first, 10), "the seat is already lost")
	require.False(t, f.mayLose(second, 10))
	first.lostUntil = 20
	require.False(t, f.mayLose(second, 19))
	require.True(t, f.mayLose(second, 20))
	f.Losses, f.OneZone, first.lostUntil = 2, true, 30
	require.True(t, f.mayLose(second, 20), "a seat of the same zone")
	second.zone = "zb"
	require.False(t, f.mayLose(second, 20), "a seat of another zone")
}

// The same seed gives the same deployment, and a deployment tolerates no more losses than a majority of its nodes
// survives.
func TestDrawDeployment(t *testing.T) {
	drawn := map[string]bool{}
	for seed := range uint64(200) {
		d := randomDeployment(seed)
		require.Equal(t, d, randomDeployment(seed))
		require.GreaterOrEqual(t, d.Nodes, 2*d.Losses+1)
		drawn[(&Deployment{Nodes: d.Nodes, Losses: d.Losses, OneZone: d.OneZone, Regions: d.Regions}).String()] = true
	}
	require.Greater(t, len(drawn), 15)
}
