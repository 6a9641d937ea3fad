package simulator

func init() { Scenes = append(Scenes, controlScenes...) }

// controlOptions sets up a world of announced servers on a deployment drawn from the seed. There are few servers and
// callers, because these scenes test the core.
func controlOptions(draw func(seed uint64) *Deployment) func(o *Options) {
	return func(o *Options) {
		hostedOptions(func(h *Hosted) { h.BatchServers, h.PlainServers = 3, 2 })(o)
		o.Routers, o.Core = 3, draw(o.Seed)
	}
}

// controlRequestRate is the number of requests per second that callers send in these scenes.
const controlRequestRate = 5

// controlScenes lose, partition and replace core nodes on drawn deployments.
var controlScenes = []Scene{
	{Name: "control-losses", Description: "core nodes lose power, lose their disks and are replaced, in as quick succession as a drawn deployment tolerates", Duration: 100e9, RequestRate: controlRequestRate,
		Configure: controlOptions(randomDeployment), Script: func(w *World) { w.runLosses(powerLoss, diskLoss, diskLossAfterAck, replacement) }},
	{Name: "control-five", Description: "like control-losses, with five voters of which any two may be lost", Duration: 100e9, RequestRate: controlRequestRate,
		Configure: controlOptions(fiveNodeDeployment), Script: func(w *World) { w.runLosses(powerLoss, diskLoss, diskLossAfterAck, replacement) }},
	{Name: "control-replace", Description: "five voters: one is replaced permanently, the owner is lost soon after, and another node as soon as the new one no longer counts as lost", Duration: 100e9, RequestRate: controlRequestRate,
		Configure: controlOptions(fiveNodeDeployment), Script: func(w *World) {
			w.watchJointState(12)
			w.changePlanPeriodically(14, 76, 2e9)
			w.replaceSequentially(15, 75)
		}},
	{Name: "control-planned", Description: "five voters: nodes are replaced as planned, with the new node started first, and lost before and after", Duration: 100e9, RequestRate: controlRequestRate,
		Configure: controlOptions(fiveNodeDeployment), Script: func(w *World) { w.runLosses(plannedReplacement, plannedReplacement, powerLoss, diskLoss) }},
	{Name: "control-parted", Description: "the owner or a seed is cut off for 14 to 25 s, one way or both, while changes are accepted elsewhere and operators call the isolated node", Duration: 130e9, RequestRate: controlRequestRate,
		Configure: controlOptions(randomDeployment), Script: func(w *World) { w.runPartitions(95) }},
	{Name: "control-race", Description: "two operators change the same version concurrently, answers get lost, and repeats go to other nodes after 40 other changes", Duration: 100e9, RequestRate: controlRequestRate,
		Configure: controlOptions(randomDeployment), Script: func(w *World) { w.runRaces(80, 40) }},
	{Name: "control-storm", Description: "like control-race, with 300 other changes before the repeats", Duration: 130e9, RequestRate: controlRequestRate,
		Configure: controlOptions(randomDeployment), Script: func(w *World) { w.runRaces(80, 300) }},
	{Name: "control-away", Description: "a voter is down for hundreds of changes, returns with its old disk, and others are lost as soon as it no longer counts as lost", Duration: 80e9, RequestRate: controlRequestRate,
		Configure: controlOptions(randomDeployment), Script: func(w *World) { w.runVoterAbsences(45, 300) }},
	{Name: "control-power", Description: "five voters, up to two of which lose power at a time, repeatedly", Duration: 100e9, RequestRate: controlRequestRate,
		Configure: controlOptions(fiveNodeDeployment), Script: func(w *World) { w.runLosses(powerLoss) }},
}

// runLosses loses core nodes in the given ways while an operator changes the plan.
func (w *World) runLosses(kinds ...lossKind) {
	w.tracef("deployment: %s", w.core)
	w.watchJointState(12)
	w.changePlanPeriodically(14, 76, 2e9)
	w.injectLosses(15, 75, kinds...)
}
